#include "porttiller/policy/CircuitBreaker.h"

#include <algorithm>

namespace porttiller {

const char*
ToText(BreakerState aState)
{
  return aState == BreakerState::kClosed ? "closed" : "half-open";
}

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions aOptions)
  : mOptions(aOptions)
  , mGap(aOptions.mTrialGap)
{
}

bool
CircuitBreaker::Admit(bool aRepeatable, bool aLastResort, TimePoint aNow)
{
  if (mState == BreakerState::kClosed || aLastResort) {
    return true;
  }
  const bool mayTry =
    aRepeatable || aNow >= mLastFailure + mOptions.mTrialOfAny;
  if (!mayTry || aNow < mNextTrial) {
    return false;
  }
  mNextTrial = aNow + mGap;
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
    mGap = mOptions.mTrialGap;
  } else {
    mGap = std::min(mGap * 2, mOptions.mMaxTrialGap);
  }
  mNextTrial = aNow + mGap;
  return opened;
}

void
CircuitBreaker::Note(bool aError)
{
  mErrors <<= 1;
  mErrors[0] = aError;
}

bool
CircuitBreaker::OnError(TimePoint aNow)
{
  Note(true);
  const bool many = static_cast<int>(mErrors.count()) >= mOptions.mErrorsToFail;
  if (mState == BreakerState::kHalfOpen || many) {
    return OnFailure(aNow);
  }
  return false;
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
  Note(false);
  if (mState == BreakerState::kClosed || aSent < mLastFailure) {
    return false;
  }
  mGap = mOptions.mTrialGap;
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
