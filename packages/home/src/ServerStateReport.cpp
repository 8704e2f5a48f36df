#include "porttiller/home/ServerStateReport.h"

#include <utility>

namespace porttiller {

namespace {

// How long a change of the breaker must last before it is reported. Four in
// five silence alarms end within 0.3 s, half of them within 84 ms, when the
// missing answer arrives; until the report the home itself rejects requests.
constexpr Millis kMinReportedDuration{ 150 };
// A limit that changes by less than this factor reaches entries with answers.
constexpr double kReportedRateChange = 1.25;
constexpr Millis kMinDemandInterval{ 1000 };
// A lost report of a limit that has ended would leave the server unused.
constexpr int kDemandRepeats = 1;

bool
LimitChanged(const std::optional<LimitNote>& aReported,
             const std::optional<LimitNote>& aLimit)
{
  if (!aReported || !aLimit) {
    return aReported.has_value() != aLimit.has_value();
  }
  return aLimit->mRate > aReported->mRate * kReportedRateChange ||
         aLimit->mRate * kReportedRateChange < aReported->mRate;
}

} // namespace

std::optional<ServerStateReport::Due>
ServerStateReport::Take(bool aDemoted,
                        const ServerDemand& aDemand,
                        TimePoint aNow)
{
  const bool demotionChanged = DemotionChanged(aDemoted, aNow);
  if (!DemandIsDue(aDemand, aNow) && !demotionChanged) {
    return std::nullopt;
  }
  return Due{ .mDemoted = mDemoted,
              .mDemand = mDemand,
              .mDemotionChanged = demotionChanged,
              .mLeavingEnded = std::exchange(mLeavingEnded, false) };
}

bool
ServerStateReport::DemotionChanged(bool aDemoted, TimePoint aNow)
{
  if (aDemoted == mDemoted) {
    mUnreportedSince.reset();
    return false;
  }
  mUnreportedSince = mUnreportedSince.value_or(aNow);
  if (aNow < *mUnreportedSince + kMinReportedDuration) {
    return false;
  }
  mUnreportedSince.reset();
  mDemoted = aDemoted;
  return true;
}

bool
ServerStateReport::DemandIsDue(const ServerDemand& aDemand, TimePoint aNow)
{
  const bool changed = LimitChanged(mDemand.mLimit, aDemand.mLimit) ||
                       aDemand.mLeaving != mDemand.mLeaving || mLeavingEnded;
  if (aNow < mNextDemand || (!changed && mRepeats == 0)) {
    return false;
  }
  mRepeats = changed ? kDemandRepeats : mRepeats - 1;
  mNextDemand = aNow + kMinDemandInterval;
  mDemand = aDemand;
  return true;
}

} // namespace porttiller
