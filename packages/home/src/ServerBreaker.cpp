#include "porttiller/home/ServerBreaker.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kFirstServerErrorStatus = 500;
// An abandoned trial shows that the server still hangs only if a smaller share
// of the route's requests takes longer than the trial ran.
constexpr double kMaxHangingSurvival = 0.3;
// Weight of the newest request in the running mean of the service's error rate.
constexpr double kErrorRateWeight = 0.1;
// Entries avoid an open breaker for at least this long before they send another
// request. They are notified when it closes; this is for those that miss the
// notification.
constexpr Millis kMinRetryAfter{ 4000 };

// These rejections do not show whether the server is healthy.
bool
IsInconclusive(const HomeAnswer& aAnswer)
{
  return aAnswer.mRejectReason == RejectReason::kServerBusy ||
         aAnswer.mRejectReason == RejectReason::kOverloaded ||
         aAnswer.mRejectReason == RejectReason::kLeaving;
}

// True when nobody waits for the answer any more: the request timed out, or its
// caller or entry disconnected.
bool
WasAbandoned(const HomeRequest& aRequest, const HomeAnswer& aAnswer)
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
                     bool aRetryAvailable,
                     TimePoint aNow)
{
  CheckRunning(aNow);
  return mBreaker.Admit(
    aRequest.mCanFailOver && aRetryAvailable, aRequest.mLastResort, aNow);
}

bool
ServerBreaker::IsDemoted(TimePoint aNow)
{
  CheckRunning(aNow);
  return mBreaker.State() != BreakerState::kClosed;
}

Millis
ServerBreaker::RetryAfter(TimePoint aNow) const
{
  return std::max(mBreaker.RetryAfter(aNow), kMinRetryAfter);
}

void
ServerBreaker::OnStarted(const HomeRequest& aRequest, TimePoint aNow)
{
  SilenceOf(aRequest).OnStarted(aRequest.mAttempt, aRequest.mRoute, aNow);
  if (aRequest.mLongTarget && mBreaker.State() != BreakerState::kClosed) {
    mTrials.OnStarted(aRequest.mAttempt, aNow);
  }
  mServiceErrorRate +=
    kErrorRateWeight * (aRequest.mServiceErrorRate - mServiceErrorRate);
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
  UpdateSilence(aRequest, aAnswer, aNow);
  mTrials.OnEnded(aRequest.mAttempt);
  if (!IsInconclusive(aAnswer) &&
      UpdateBreaker(aRequest, aAnswer, aTime, aNow)) {
    LogChange("request",
              aRequest.mRequestId,
              aAnswer.mOutcome == Outcome::kRun
                ? "status " + std::to_string(aAnswer.mHttp.mStatus)
                : aAnswer.mReason,
              aNow);
  }
  CheckRunning(aNow);
}

void
ServerBreaker::UpdateSilence(const HomeRequest& aRequest,
                             const HomeAnswer& aAnswer,
                             TimePoint aNow)
{
  auto& silence = SilenceOf(aRequest);
  if (aAnswer.mOutcome == Outcome::kRun) {
    silence.OnAnswered(aRequest.mAttempt);
  } else if (WasAbandoned(aRequest, aAnswer)) {
    silence.OnAbandoned(aRequest.mAttempt, aNow);
  } else {
    silence.Forget(aRequest.mAttempt);
  }
}

bool
ServerBreaker::UpdateBreaker(const HomeRequest& aRequest,
                             const HomeAnswer& aAnswer,
                             Micros aTime,
                             TimePoint aNow)
{
  if (WasAbandoned(aRequest, aAnswer)) {
    const bool trial = mBreaker.State() == BreakerState::kHalfOpen;
    mTrials.OnOtherFailure();
    const auto survival = aRequest.mLongTarget ? LongSurvival() : Survival();
    const bool conclusive =
      survival(aRequest.mRoute, aTime) < kMaxHangingSurvival;
    return trial && conclusive && mBreaker.OnFailure(aNow);
  }
  if (aAnswer.mOutcome != Outcome::kRun) {
    mOpenedBySilence = false;
    if (aRequest.mLongTarget && aAnswer.mServerClosed) {
      mTrials.OnClosed(aTime);
    } else {
      mTrials.OnOtherFailure();
    }
    return mBreaker.OnFailure(aNow);
  }
  if (aAnswer.mHttp.mStatus >= kFirstServerErrorStatus) {
    mTrials.OnOtherFailure();
    return mBreaker.OnError(mServiceErrorRate, aNow);
  }
  const bool closed = mBreaker.OnSuccess(aNow - aTime);
  if (closed) {
    mOpenedBySilence = false;
    mSilence.Reset();
    mLongSilence.Reset();
  }
  return closed;
}

void
ServerBreaker::CheckRunning(TimePoint aNow)
{
  CheckAccepted(aNow);
  CheckSilence(aNow);
}

void
ServerBreaker::CheckAccepted(TimePoint aNow)
{
  for (const auto sent : mTrials.TakeAccepted(aNow)) {
    if (mBreaker.OnSuccess(sent)) {
      mOpenedBySilence = false;
      LogChange("cause", "trial", "accepted", aNow);
    }
  }
}

// Detects a server that hangs before its requests time out. Closes the breaker
// again when their answers arrive.
void
ServerBreaker::CheckSilence(TimePoint aNow)
{
  const bool alarm = IsSilent(aNow);
  if (alarm && mBreaker.State() == BreakerState::kClosed) {
    mOpenedBySilence = true;
    mTrials.OnOtherFailure();
    mBreaker.OnFailure(aNow);
    LogChange("cause", "silence", "no answer for long", aNow);
  } else if (!alarm && mOpenedBySilence) {
    mOpenedBySilence = false;
    mBreaker.Close();
    LogChange("cause", "silence", "answered", aNow);
  }
}

SilenceDetector&
ServerBreaker::SilenceOf(const HomeRequest& aRequest)
{
  return aRequest.mLongTarget ? mLongSilence : mSilence;
}

bool
ServerBreaker::IsSilent(TimePoint aNow) const
{
  return mSilence.Alarms(Survival(), aNow) ||
         mLongSilence.Alarms(LongSurvival(), aNow);
}

SurvivalOf
ServerBreaker::Survival() const
{
  return [this](const std::string& aRoute, Micros aTime) {
    return mTimes.Survival(aRoute, aTime);
  };
}

SurvivalOf
ServerBreaker::LongSurvival() const
{
  return [this](const std::string& aRoute, Micros aTime) {
    return mTimes.LongSurvival(aRoute, aTime);
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
    .With(
      "silence_x100",
      static_cast<std::int64_t>(kHundredths * mSilence.Score(Survival(), aNow)))
    .With("long_silence_x100",
          static_cast<std::int64_t>(kHundredths *
                                    mLongSilence.Score(LongSurvival(), aNow)));
}

} // namespace porttiller
