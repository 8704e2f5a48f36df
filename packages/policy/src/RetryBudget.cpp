#include "porttiller/policy/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
  , mTokens(aOptions.mBurst)
{
}

double
RetryBudget::Limit() const
{
  return mOptions.mBurst + mOptions.mSavedShare * mRecentFirstAttempts;
}

void
RetryBudget::SetOptions(const RetryBudgetOptions& aOptions)
{
  mOptions = aOptions;
  mTokens = std::min(mTokens, Limit());
}

void
RetryBudget::OnFirstAttempt(TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds age = std::max(Micros(0), aNow - mLastFirstAttemptAt);
  mRecentFirstAttempts =
    mRecentFirstAttempts * std::exp(-age / Seconds(mOptions.mWindow)) + 1.0;
  mLastFirstAttemptAt = aNow;
  mTokens = std::min(Limit(), mTokens + mOptions.mShare);
}

bool
RetryBudget::TryRetry()
{
  if (!Affords(1)) {
    return false;
  }
  Spend();
  return true;
}

bool
RetryBudget::Affords(int aRetries) const
{
  return mTokens >= aRetries;
}

} // namespace porttiller
