#include "porttiller/policy/AttemptPlan.h"

namespace porttiller {

AttemptPlan::AttemptPlan(bool aRepeatable, AttemptPlanOptions aOptions)
  : mRepeatable(aRepeatable)
  , mOptions(aOptions)
  , mMaxAttempts(aOptions.mMaxAttempts)
  , mRepeatsRounds(aOptions.mRepeatsRounds)
{
}

bool
AttemptPlan::MayAttempt()
{
  if (mEnded) {
    return false;
  }
  const bool mayTryMoreHomes =
    mLastResort || mRejectedAttempts < mOptions.mMaxRejectedAttempts;
  return (mAttempts < mMaxAttempts && mayTryMoreHomes) ||
         (!mRepeatsRounds && AllowLastResort());
}

bool
AttemptPlan::MayUse(const BackendServerName& aServer) const
{
  return !mTried.contains(aServer);
}

bool
AttemptPlan::AllowLastResort(bool aDemotedLeft)
{
  if (mLastResort || (mDemoted.empty() && !aDemotedLeft)) {
    return false;
  }
  mLastResort = true;
  mMaxAttempts = mAttempts + mOptions.mLastResortAttempts;
  for (const auto& server : mDemoted) {
    mTried.erase(server);
  }
  return true;
}

bool
AttemptPlan::AllowMore(bool aDemotedLeft)
{
  if (!mRepeatsRounds) {
    return AllowLastResort(aDemotedLeft);
  }
  if (mFirstRound || mAsksAgain) {
    return false;
  }
  mAsksAgain = true;
  mTried = mTriedInRound;
  mTried.insert(mBusy.begin(), mBusy.end());
  return true;
}

void
AttemptPlan::StartRound()
{
  mFirstRound = false;
  mAsksAgain = false;
  mTriedInRound.clear();
  mRejectedAttempts = 0;
  mMaxAttempts = mAttempts + mOptions.mMaxAttemptsInLaterRounds;
}

void
AttemptPlan::EndRounds()
{
  mRepeatsRounds = false;
}

void
AttemptPlan::OnSent(const BackendServerName& aServer)
{
  mTried.insert(aServer);
  mTriedInRound.insert(aServer);
  ++mInFlight;
  ++mAttempts;
}

bool
AttemptPlan::MayReachAnother(int aServers) const
{
  return mOptions.mMaxServers == 0 ||
         mServersReached + mInFlight + aServers < mOptions.mMaxServers;
}

bool
AttemptPlan::MayFailOverNext() const
{
  return mRepeatable && MayReachAnother(1);
}

void
AttemptPlan::OnAnswered(bool aFailed, const RetrySource& aRetry)
{
  ++mServersReached;
  --mInFlight;
  mMaybeRun = true;
  mEnded = !aFailed || !MayRetry(aRetry);
}

void
AttemptPlan::OnNotRun(const BackendServerName& aServer,
                      NotRunReason aNotRunReason,
                      const RetrySource& aRetry)
{
  --mInFlight;
  switch (aNotRunReason) {
    case NotRunReason::kTryElsewhere:
      break;
    case NotRunReason::kRetrySameServer:
      mTried.erase(aServer);
      mTriedInRound.erase(aServer);
      break;
    case NotRunReason::kNoCapacity:
      ++mRejectedAttempts;
      break;
    case NotRunReason::kDemoted:
      mRejectedAttempts += mOptions.mIsLong ? 0 : 1;
      mDemoted.insert(aServer);
      break;
    case NotRunReason::kOverloaded:
      ++mServersReached;
      mBusy.insert(aServer);
      mEnded = !MayReachAnother() || !aRetry();
      return;
  }
  if (mEnded && mInFlight == 0) {
    mEnded = !MayRetry(aRetry); // another attempt failed while it ran
  }
}

void
AttemptPlan::OnUnknown(const RetrySource& aRetry)
{
  ++mServersReached;
  --mInFlight;
  mMaybeRun = true;
  mEnded = !MayRetry(aRetry);
}

// Spends no retry while another attempt runs, since that one may still succeed.
bool
AttemptPlan::MayRetry(const RetrySource& aRetry)
{
  return mRepeatable && mInFlight == 0 && MayReachAnother() && aRetry();
}

bool
AttemptPlan::MayHedge(const RetrySource& aRetry)
{
  return mRepeatable && !mEnded && mAttempts < mMaxAttempts &&
         mRejectedAttempts < mOptions.mMaxRejectedAttempts &&
         MayReachAnother() && aRetry();
}

Outcome
AttemptPlan::OutcomeWithoutAnswer() const
{
  return mMaybeRun || mInFlight > 0 ? Outcome::kUnknown : Outcome::kNotRun;
}

} // namespace porttiller
