#include "porttiller/home/HealthEvidence.h"

#include <functional>

namespace porttiller {

namespace {

// A timeout counts against the server if the request ran for this long, or if
// the detector finds its time slow.
constexpr Millis kMinTimeoutEvidence{ 500 };

} // namespace

std::optional<Evidence>
HealthEvidenceOf(const HomeRequest& aRequest,
                 const HomeAnswer& aAnswer,
                 Micros aTime,
                 bool aSlow)
{
  Evidence evidence{ .mLatency = aTime };
  evidence.mClass =
    static_cast<std::uint32_t>(std::hash<std::string>{}(aRequest.mRoute));
  if (aAnswer.mOutcome == Outcome::kRun) {
    evidence.mFailed = aAnswer.mHttp.mStatus >= kFirstServerErrorStatus;
  } else if (aAnswer.mReason == kTimeoutReason) {
    if (!aSlow && aTime < Micros(kMinTimeoutEvidence)) {
      return std::nullopt;
    }
    evidence.mFailed = true;
  } else if (aAnswer.mRejectReason == RejectReason::kOverloaded ||
             aAnswer.mRejectReason == RejectReason::kServerBusy ||
             aAnswer.mRejectReason == RejectReason::kLeaving ||
             IsCancelled(aRequest)) {
    return std::nullopt;
  } else {
    evidence.mFailed = true;
  }
  return evidence;
}

} // namespace porttiller
