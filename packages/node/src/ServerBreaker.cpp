#include "porttiller/node/ServerBreaker.h"

#include "porttiller/node/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kServerErrors = 500;
// A request without an answer says something of its server after this many
// mean times of its answers, and never sooner than after kSilenceFloor.
constexpr int kSilenceMeans = 5;
constexpr Millis kSilenceFloor{ 800 };
constexpr Millis kSilenceUnknown{ 2000 }; // while no mean is known
// Entries keep away from an open breaker for so long before they ask again.
constexpr Millis kRetryAfter{ 2000 };

bool
SaysNothing(const HomeRequest& aRequest, const HomeAnswer& aAnswer)
{
  return IsCancelled(aRequest) || aAnswer.mRefusal == Refusal::kServerBusy ||
         aAnswer.mRefusal == Refusal::kOverloaded ||
         aAnswer.mRefusal == Refusal::kLeaving;
}

} // namespace

ServerBreaker::ServerBreaker(BackendServerName aServer)
  : mServer(std::move(aServer))
{
}

bool
ServerBreaker::Admit(const HomeRequest& aRequest, TimePoint aNow)
{
  SuspectSilent(aNow);
  return mBreaker.Admit(aRequest.mMayFail, aRequest.mLastResort, aNow);
}

Millis
ServerBreaker::RetryAfter(TimePoint aNow) const
{
  return std::max(mBreaker.RetryAfter(aNow), kRetryAfter);
}

void
ServerBreaker::OnStarted(const AttemptId& aAttempt, TimePoint aNow)
{
  mRunningSince[aAttempt] = aNow;
}

void
ServerBreaker::OnEnded(const HomeRequest& aRequest,
                       const HomeAnswer& aAnswer,
                       Micros aTime,
                       TimePoint aNow)
{
  const bool suspected = mRunningSince.erase(aRequest.mAttempt) == 0;
  if (!SaysNothing(aRequest, aAnswer)) {
    Learn(aRequest, aAnswer, aTime, aNow, suspected);
  }
}

void
ServerBreaker::Learn(const HomeRequest& aRequest,
                     const HomeAnswer& aAnswer,
                     Micros aTime,
                     TimePoint aNow,
                     bool aSuspected)
{
  LogLine(LogLevel::kDebug, "server_answer")
    .With("request", aRequest.mRequestId)
    .With("outcome", std::string(ToText(aAnswer.mOutcome)))
    .With("status", aAnswer.mHttp.mStatus)
    .With("reason", aAnswer.mReason)
    .With("trial", mBreaker.State() == BreakerState::kHalfOpen ? "yes" : "no")
    .With("time_ms", std::chrono::duration_cast<Millis>(aTime).count());
  if (Feed(aAnswer, aTime, aNow, aSuspected)) {
    LogChange("request",
              aRequest.mRequestId,
              aAnswer.mOutcome == Outcome::kRun
                ? "status " + std::to_string(aAnswer.mHttp.mStatus)
                : aAnswer.mReason);
  }
}

// True when the breaker's state changed.
bool
ServerBreaker::Feed(const HomeAnswer& aAnswer,
                    Micros aTime,
                    TimePoint aNow,
                    bool aSuspected)
{
  if (aAnswer.mReason == kTimeoutReason) {
    const bool counts = aTime >= Micros(kSilenceFloor) && !aSuspected;
    return counts && mBreaker.OnNoAnswer(aNow);
  }
  if (aAnswer.mOutcome != Outcome::kRun) {
    return mBreaker.OnFailure(aNow);
  }
  if (aAnswer.mHttp.mStatus >= kServerErrors) {
    return mBreaker.OnError(aNow);
  }
  mLatency.Observe(aTime);
  return mBreaker.OnSuccess(aNow - aTime);
}

Micros
ServerBreaker::SilenceLimit() const
{
  return mLatency.Value() == Micros(0)
           ? Micros(kSilenceUnknown)
           : std::max(Micros(kSilenceFloor), kSilenceMeans * mLatency.Value());
}

// A request without an answer tells of its server before its deadline does.
void
ServerBreaker::SuspectSilent(TimePoint aNow)
{
  const auto limit = SilenceLimit();
  for (auto it = mRunningSince.begin(); it != mRunningSince.end();) {
    if (aNow - it->second < limit) {
      ++it;
      continue;
    }
    if (mBreaker.OnNoAnswer(aNow)) {
      LogChange("attempt", it->first.ToString(), "no answer for long");
    }
    it = mRunningSince.erase(it);
  }
}

void
ServerBreaker::LogChange(const char* aKey,
                         const std::string& aCause,
                         const std::string& aReason) const
{
  LogLine(LogLevel::kInfo, "server_breaker")
    .With(aKey, aCause)
    .With("server", mServer.Value())
    .With("state", ToText(mBreaker.State()))
    .With("reason", aReason)
    .With("running", static_cast<std::int64_t>(mRunningSince.size()))
    .With("mean_ms",
          std::chrono::duration_cast<Millis>(mLatency.Value()).count());
}

} // namespace porttiller
