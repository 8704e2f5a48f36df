#include "porttiller/home/ServerBreaker.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kServerErrors = 500;
// A trial that was given up tells that the server still hangs only if so few
// requests would have taken longer.
constexpr double kTellingSurvival = 0.3;
// Of the newest request's entry in the service's usual share of errors.
constexpr double kEntryWeight = 0.1;
// Entries keep away from an open breaker for so long before they ask again.
// They are told when it closes; this is for those that miss the news.
constexpr Millis kRetryAfter{ 4000 };

bool
SaysNothing(const HomeAnswer& aAnswer)
{
  return aAnswer.mRefusal == Refusal::kServerBusy ||
         aAnswer.mRefusal == Refusal::kOverloaded ||
         aAnswer.mRefusal == Refusal::kLeaving;
}

// Nobody waits any more: its time is up, or its caller or entry has gone.
bool
WasGivenUp(const HomeRequest& aRequest, const HomeAnswer& aAnswer)
{
  return aAnswer.mOutcome == Outcome::kUnknown &&
         (aAnswer.mReason == kTimeoutReason || IsCancelled(aRequest));
}

} // namespace

ServerBreaker::ServerBreaker(ServerIncarnation aServer,
                             const RouteTimes& aTimes)
  : mServer(std::move(aServer))
  , mTimes(aTimes)
{
}

bool
ServerBreaker::Admit(const HomeRequest& aRequest,
                     bool aTrialPaid,
                     TimePoint aNow)
{
  JudgeSilence(aNow);
  return mBreaker.Admit(
    aRequest.mMayFail && aTrialPaid, aRequest.mLastResort, aNow);
}

bool
ServerBreaker::Demotes(TimePoint aNow)
{
  JudgeSilence(aNow);
  return mBreaker.State() != BreakerState::kClosed;
}

Millis
ServerBreaker::RetryAfter(TimePoint aNow) const
{
  return std::max(mBreaker.RetryAfter(aNow), kRetryAfter);
}

void
ServerBreaker::OnStarted(const HomeRequest& aRequest, TimePoint aNow)
{
  mSilence.OnStarted(aRequest.mAttempt, aRequest.mRoute, aNow);
  mUsualErrors += kEntryWeight * (aRequest.mUsualErrors - mUsualErrors);
}

void
ServerBreaker::OnEnded(const HomeRequest& aRequest,
                       const HomeAnswer& aAnswer,
                       Micros aTime,
                       TimePoint aNow)
{
  LogLine(LogLevel::kDebug, "server_answer")
    .With("request", aRequest.mRequestId)
    .With("outcome", std::string(ToText(aAnswer.mOutcome)))
    .With("status", aAnswer.mHttp.mStatus)
    .With("reason", aAnswer.mReason)
    .With("trial", mBreaker.State() == BreakerState::kHalfOpen ? "yes" : "no")
    .With("time_ms", std::chrono::duration_cast<Millis>(aTime).count());
  NoteSilence(aRequest, aAnswer, aNow);
  if (!SaysNothing(aAnswer) && Feed(aRequest, aAnswer, aTime, aNow)) {
    LogChange("request",
              aRequest.mRequestId,
              aAnswer.mOutcome == Outcome::kRun
                ? "status " + std::to_string(aAnswer.mHttp.mStatus)
                : aAnswer.mReason,
              aNow);
  }
  JudgeSilence(aNow);
}

void
ServerBreaker::NoteSilence(const HomeRequest& aRequest,
                           const HomeAnswer& aAnswer,
                           TimePoint aNow)
{
  if (aAnswer.mOutcome == Outcome::kRun) {
    mSilence.OnAnswered(aRequest.mAttempt);
  } else if (WasGivenUp(aRequest, aAnswer)) {
    mSilence.OnGivenUp(aRequest.mAttempt, aNow);
  } else {
    mSilence.Forget(aRequest.mAttempt);
  }
}

// True when the breaker's state changed.
bool
ServerBreaker::Feed(const HomeRequest& aRequest,
                    const HomeAnswer& aAnswer,
                    Micros aTime,
                    TimePoint aNow)
{
  if (WasGivenUp(aRequest, aAnswer)) {
    const bool trial = mBreaker.State() == BreakerState::kHalfOpen;
    const bool telling =
      mTimes.Survival(aRequest.mRoute, aTime) < kTellingSurvival;
    return trial && telling && mBreaker.OnFailure(aNow);
  }
  if (aAnswer.mOutcome != Outcome::kRun) {
    mBySilence = false;
    return mBreaker.OnFailure(aNow);
  }
  if (aAnswer.mHttp.mStatus >= kServerErrors) {
    return mBreaker.OnError(mUsualErrors, aNow);
  }
  const bool closed = mBreaker.OnSuccess(aNow - aTime);
  if (closed) {
    mBySilence = false;
    mSilence.Reset();
  }
  return closed;
}

// Requests without an answer tell of their server before their deadlines do,
// and their answers end the suspicion.
void
ServerBreaker::JudgeSilence(TimePoint aNow)
{
  const bool alarm = mSilence.Alarms(Survival(), aNow);
  if (alarm && mBreaker.State() == BreakerState::kClosed) {
    mBySilence = true;
    mBreaker.OnFailure(aNow);
    LogChange("cause", "silence", "no answer for long", aNow);
  } else if (!alarm && mBySilence) {
    mBySilence = false;
    mBreaker.Close();
    LogChange("cause", "silence", "answered", aNow);
  }
}

SurvivalOf
ServerBreaker::Survival() const
{
  return [this](const std::string& aRoute, Micros aTime) {
    return mTimes.Survival(aRoute, aTime);
  };
}

void
ServerBreaker::LogChange(const char* aKey,
                         const std::string& aCause,
                         const std::string& aReason,
                         TimePoint aNow) const
{
  constexpr double kHundredths = 100.0;
  LogLine(LogLevel::kInfo, "server_breaker")
    .With(aKey, aCause)
    .With("server", mServer.ToString())
    .With("state", ToText(mBreaker.State()))
    .With("reason", aReason)
    .With("silence_x100",
          static_cast<std::int64_t>(kHundredths *
                                    mSilence.Score(Survival(), aNow)));
}

} // namespace porttiller
