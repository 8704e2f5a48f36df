#include "porttiller/policy/AttemptPlan.h"

namespace porttiller {

AttemptPlan::AttemptPlan(bool aRepeatable, AttemptPlanOptions aOptions)
  : mRepeatable(aRepeatable)
  , mOptions(aOptions)
  , mMaxAttempts(aOptions.mMaxAttempts)
{
}

bool
AttemptPlan::MayAttempt()
{
  if (mEnded) {
    return false;
  }
  return mAttempts < mMaxAttempts || Widen();
}

bool
AttemptPlan::MayUse(const BackendServerName& aServer) const
{
  return !mTried.contains(aServer);
}

bool
AttemptPlan::Widen()
{
  if (mLastResort || mDemoted.empty()) {
    return false;
  }
  mLastResort = true;
  mMaxAttempts = mAttempts + mOptions.mLastResortAttempts;
  for (const auto& server : mDemoted) {
    mTried.erase(server);
  }
  return true;
}

void
AttemptPlan::OnSent(const BackendServerName& aServer)
{
  mCurrent = aServer;
  mTried.insert(aServer);
  mRetryTaken = false;
  mInFlight = true;
  ++mAttempts;
}

bool
AttemptPlan::MayReachAnother(int aServers) const
{
  return mOptions.mMaxServers == 0 ||
         mServersReached + aServers < mOptions.mMaxServers;
}

bool
AttemptPlan::MayFailNext() const
{
  return mRepeatable && MayReachAnother(1);
}

void
AttemptPlan::OnAnswered(bool aFailed, const RetrySource& aRetry)
{
  ++mServersReached;
  mInFlight = false;
  mMaybeRun = true;
  mEnded = !aFailed || !MayAbandon(aRetry);
}

void
AttemptPlan::OnNotRun(Setback aSetback, const RetrySource& aRetry)
{
  mInFlight = false;
  switch (aSetback) {
    case Setback::kElsewhere:
      break;
    case Setback::kSameAgain:
      mTried.erase(mCurrent);
      break;
    case Setback::kDemoted:
      mDemoted.insert(mCurrent);
      break;
    case Setback::kOverloaded:
      ++mServersReached;
      mEnded = !MayReachAnother() || !aRetry();
      break;
  }
}

void
AttemptPlan::OnUnknown(const RetrySource& aRetry)
{
  ++mServersReached;
  mInFlight = false;
  mMaybeRun = true;
  mEnded = !MayAbandon(aRetry);
}

bool
AttemptPlan::MayAbandon(const RetrySource& aRetry)
{
  if (!mRepeatable || !MayReachAnother(mInFlight ? 1 : 0)) {
    return false;
  }
  mRetryTaken = mRetryTaken || aRetry();
  return mRetryTaken;
}

Outcome
AttemptPlan::OutcomeWithoutAnswer() const
{
  return mMaybeRun ? Outcome::kUnknown : Outcome::kNotRun;
}

} // namespace porttiller
