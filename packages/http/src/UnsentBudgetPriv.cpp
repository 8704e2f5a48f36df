#include "UnsentBudgetPriv.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// Retry-After has whole seconds.
constexpr Millis kMinRetryAfter{ 1000 };

} // namespace

UnsentBudget::UnsentBudget(std::size_t aLimit, Millis aMaxRetryAfter)
  : mLimit(aLimit)
  , mMaxRetryAfter(std::max(aMaxRetryAfter, kMinRetryAfter))
{
}

void
UnsentBudget::Change(std::size_t aBefore, std::size_t aAfter)
{
  if (aAfter < aBefore) {
    mHeld -= aBefore - aAfter;
    mReleased += aBefore - aAfter;
  } else {
    mHeld += aAfter - aBefore;
  }
}

bool
UnsentBudget::TryAdd(std::size_t aBytes)
{
  auto held = mHeld.load();
  do {
    if (held + aBytes > mLimit) {
      return false;
    }
  } while (!mHeld.compare_exchange_weak(held, held + aBytes));
  return true;
}

bool
UnsentBudget::Admits(bool aHasRead) const
{
  return mLimit == 0 || mHeld < (aHasRead ? mLimit : FirstLimit());
}

void
UnsentBudget::Sample(TimePoint aNow)
{
  const auto passed = std::chrono::duration<double, std::milli>(
    aNow - std::exchange(mLastSample, aNow));
  const auto released = static_cast<double>(mReleased.exchange(0));
  mBytesPerMs = passed.count() > 0.0 ? released / passed.count() : 0.0;
}

Millis
UnsentBudget::RetryAfter() const
{
  const std::size_t held = mHeld;
  const double rate = mBytesPerMs;
  const auto above = held - std::min(held, FirstLimit());
  const auto most = static_cast<double>(mMaxRetryAfter.count());
  const double wait =
    rate > 0.0 ? std::min(static_cast<double>(above) / rate, most) : most;
  return std::max(kMinRetryAfter, Millis(static_cast<Millis::rep>(wait)));
}

} // namespace porttiller
