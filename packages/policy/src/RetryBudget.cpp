#include "porttiller/policy/RetryBudget.h"

#include <algorithm>

namespace porttiller {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
  , mTokens(aOptions.mBurst)
{
}

void
RetryBudget::SetOptions(const RetryBudgetOptions& aOptions)
{
  mOptions = aOptions;
  mTokens = std::min(mTokens, mOptions.mBurst);
}

void
RetryBudget::OnFirstAttempt()
{
  mTokens = std::min(mOptions.mBurst, mTokens + mOptions.mShare);
}

bool
RetryBudget::TryRetry()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace porttiller
