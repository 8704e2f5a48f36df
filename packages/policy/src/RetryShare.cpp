#include "porttiller/policy/RetryShare.h"

#include <algorithm>

namespace porttiller {

namespace {

// Fractions of the bound's share and burst that homes use; see UsablePartOf.
constexpr double kUsableShare = 0.7;
constexpr double kUsableBurst = 0.8;
// Fraction of the share that is saved for bursts of failures; the rest accrues
// with each request. Both together stay within the share of any window.
constexpr double kSavedFraction = 0.35;

} // namespace

RetryBound
Tighter(const RetryBound& aLeft, const RetryBound& aRight)
{
  return { .mShare = std::min(aLeft.mShare, aRight.mShare),
           .mBurst = std::min(aLeft.mBurst, aRight.mBurst),
           .mWindow = std::min(aLeft.mWindow, aRight.mWindow) };
}

RetryBound
UsablePartOf(const RetryBound& aFleet)
{
  return { .mShare = kUsableShare * aFleet.mShare,
           .mBurst = kUsableBurst * aFleet.mBurst,
           .mWindow = aFleet.mWindow };
}

RetryBudgetOptions
HomeShareOf(const RetryBound& aBound, std::size_t aHomes)
{
  const auto homes = static_cast<double>(std::max<std::size_t>(1, aHomes));
  return { .mShare = (1.0 - kSavedFraction) * aBound.mShare,
           .mBurst = aBound.mBurst / homes,
           .mSavedShare = kSavedFraction * aBound.mShare,
           .mWindow = aBound.mWindow };
}

} // namespace porttiller
