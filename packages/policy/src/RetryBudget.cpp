#include "porttiller/policy/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

// Half is left by hedges, which gain time but seldom the request: the other
// half is for requests that would fail without a retry.
constexpr double kHedgeReserve = 0.5;
// Below half, sheddable requests leave a quarter for more urgent ones, whose
// retries must not wait for the budget to fill again.
constexpr double kSheddableReserve = 0.25;
constexpr double kUpperHalf = 0.5;

} // namespace

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

bool
RetryBudget::Admits(RetryUse aUse) const
{
  if (!Affords(1)) {
    return false;
  }
  const double limit = Limit();
  switch (aUse) {
    case RetryUse::kAny:
      return true;
    case RetryUse::kSheddable:
      return mTokens > kUpperHalf * limit ||
             mTokens - 1.0 >= kSheddableReserve * limit;
    case RetryUse::kHedge:
      return mTokens >= limit || mTokens - 1.0 >= kHedgeReserve * limit;
  }
  return true;
}

double
RetryBudget::FillLevel() const
{
  const double limit = Limit();
  return limit > 0.0 ? mTokens / limit : 0.0;
}

} // namespace porttiller
