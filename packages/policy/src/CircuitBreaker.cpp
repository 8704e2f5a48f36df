#include "porttiller/policy/CircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

// Healthy servers return an error of their own to about one request in a
// hundred.
constexpr double kMinErrorShare = 0.012;
constexpr double kMaxErrorShare = 0.9;
constexpr double kMaxConclusiveErrorShare = 0.2;

} // namespace

const char*
ToText(BreakerState aState)
{
  return aState == BreakerState::kClosed ? "closed" : "half-open";
}

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions aOptions)
  : mOptions(aOptions)
  , mCurrentInterval(aOptions.mTrialInterval)
{
}

bool
CircuitBreaker::Admit(bool aRepeatable, bool aLastResort, TimePoint aNow)
{
  if (mState == BreakerState::kClosed || aLastResort) {
    return true;
  }
  const bool mayTry =
    aRepeatable || aNow >= mLastFailure + mOptions.mNonRepeatableTrialDelay;
  if (!mayTry || aNow < mNextTrial) {
    return false;
  }
  mNextTrial = aNow + mCurrentInterval;
  return true;
}

bool
CircuitBreaker::OnFailure(TimePoint aNow)
{
  mSuccesses = 0;
  mLastFailure = aNow;
  mErrors.reset();
  const bool opened = mState == BreakerState::kClosed;
  if (opened) {
    mState = BreakerState::kHalfOpen;
    mCurrentInterval = mOptions.mTrialInterval;
  } else {
    mCurrentInterval =
      std::min(mCurrentInterval * 2, mOptions.mMaxTrialInterval);
  }
  mNextTrial = aNow + mCurrentInterval;
  return opened;
}

void
CircuitBreaker::RecordAnswer(bool aError)
{
  mErrors <<= 1;
  mErrors[0] = aError;
}

double
CircuitBreaker::BinomialTail(int aErrors, double aShare)
{
  double exactly =
    std::pow(1.0 - aShare, kErrorWindow); // probability of exactly i errors
  double sum = 0.0;
  for (int i = 0; i <= kErrorWindow; ++i) {
    sum += i >= aErrors ? exactly : 0.0;
    exactly *= aShare / (1.0 - aShare) * (kErrorWindow - i) / (i + 1);
  }
  return sum;
}

bool
CircuitBreaker::OnError(double aServiceErrorRate, TimePoint aNow)
{
  RecordAnswer(true);
  const double share =
    std::clamp(aServiceErrorRate, kMinErrorShare, kMaxErrorShare);
  if (mState == BreakerState::kHalfOpen) {
    // A trial is inconclusive if errors are common on all servers.
    return share < kMaxConclusiveErrorShare && OnFailure(aNow);
  }
  const auto errors = static_cast<int>(mErrors.count());
  const bool unusual =
    BinomialTail(errors, share) < mOptions.mErrorSignificance;
  return unusual && OnFailure(aNow);
}

void
CircuitBreaker::Close()
{
  mState = BreakerState::kClosed;
  mSuccesses = 0;
}

bool
CircuitBreaker::OnSuccess(TimePoint aSent)
{
  RecordAnswer(false);
  if (mState == BreakerState::kClosed || aSent < mLastFailure) {
    return false;
  }
  mCurrentInterval = mOptions.mTrialInterval;
  if (++mSuccesses < mOptions.mSuccessesToClose) {
    return false;
  }
  mState = BreakerState::kClosed;
  mSuccesses = 0;
  return true;
}

Millis
CircuitBreaker::RetryAfter(TimePoint aNow) const
{
  return std::max(Millis(0), std::chrono::ceil<Millis>(mNextTrial - aNow));
}

std::string
CircuitBreaker::Dump() const
{
  return std::string("breaker=") + ToText(mState);
}

} // namespace porttiller
