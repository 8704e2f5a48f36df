// The log lines of AttemptRun.
#include "AttemptRunPriv.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

// What a wait at the entry led to.
const char*
OutcomeOfWait(const RequestContext& aContext, const AttemptPlan& aPlan)
{
  if (aContext.mCancelled->IsCancelled()) {
    return "caller-gone";
  }
  if (aPlan.LastResort()) {
    return "last-resort";
  }
  return aPlan.MayHaveReachedServer() ? "home" : "no-home";
}

} // namespace

void
AttemptRun::LogFailedAttempt(const std::string& aResult) const
{
  const auto left =
    std::chrono::duration_cast<Millis>(mContext.mDeadline - Now());
  LogLine(LogLevel::kInfo, "attempt_failed")
    .With("request", mContext.mRequestId)
    .With("attempt", mEnded.mId.ToString())
    .With("number", mPlan.Attempts())
    .With("server", mEnded.mServer->mName.Value())
    .With("home", mEnded.mServer->mBox.Value())
    .With("digest", mContext.mDigest.ToString())
    .With("reason", aResult)
    .With("repeatable", mContext.mRepeatable ? "yes" : "no")
    .With("left_ms", left.count());
}

void
AttemptRun::LogCrashDecision(const char* aDecision,
                             const CrashState& aState) const
{
  LogLine(LogLevel::kInfo, "suspect_request")
    .With("request", mContext.mRequestId)
    .With("digest", mContext.mDigest.ToString())
    .With("decision", aDecision)
    .With("verdict", std::string(ToText(aState.mVerdict)))
    .With("crashes", aState.mCrashes)
    .With("sent_before", mPlan.MayHaveReachedServer() ? "yes" : "no")
    .With("retry_after_ms", aState.mRetryAfter.count());
}

void
AttemptRun::LogHedge(const BackendServerSpec& aServer) const
{
  const auto elapsed =
    std::chrono::duration_cast<Millis>(Now() - mContext.mArrival);
  LogLine(LogLevel::kInfo, "attempt_raced")
    .With("request", mContext.mRequestId)
    .With("slow_attempt", mRunning.front().mId.ToString())
    .With("server", aServer.mName.Value())
    .With("home", aServer.mBox.Value())
    .With("held_ms", elapsed.count())
    .With("usual_ms", std::chrono::duration_cast<Millis>(HedgeDelay()).count());
}

void
AttemptRun::LogWait() const
{
  if (mWaited == Micros(0)) {
    return;
  }
  LogLine(LogLevel::kInfo, "request_waited")
    .With("request", mContext.mRequestId)
    .With("waited_ms", std::chrono::duration_cast<Millis>(mWaited).count())
    .With("attempts", mPlan.Attempts())
    .With("outcome", OutcomeOfWait(mContext, mPlan));
}

} // namespace porttiller
