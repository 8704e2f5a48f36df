#include "porttiller/policy/CircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

// Servers answer about one request in a hundred with an error of their own.
constexpr double kLeastErrors = 0.012;
constexpr double kMostErrors = 0.9;
constexpr double kTellingErrors = 0.2;

} // namespace

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

double
CircuitBreaker::Likelihood(int aErrors, double aShare)
{
  double exactly = std::pow(1.0 - aShare, kErrorWindow); // i errors
  double sum = 0.0;
  for (int i = 0; i <= kErrorWindow; ++i) {
    sum += i >= aErrors ? exactly : 0.0;
    exactly *= aShare / (1.0 - aShare) * (kErrorWindow - i) / (i + 1);
  }
  return sum;
}

bool
CircuitBreaker::OnError(double aUsualErrors, TimePoint aNow)
{
  Note(true);
  const double share = std::clamp(aUsualErrors, kLeastErrors, kMostErrors);
  if (mState == BreakerState::kHalfOpen) {
    // A trial says something unless the error is what any server answers.
    return share < kTellingErrors && OnFailure(aNow);
  }
  const auto errors = static_cast<int>(mErrors.count());
  const bool unusual = Likelihood(errors, share) < mOptions.mErrorsUnlikely;
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
