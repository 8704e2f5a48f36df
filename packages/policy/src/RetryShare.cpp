#include "porttiller/policy/RetryShare.h"

#include <algorithm>

namespace porttiller {

namespace {

// Of the bound; see UsedOf.
constexpr double kUsedShare = 0.7;
constexpr double kUsedBurst = 0.8;
// Of the share, kept for spells of failures rather than spent as it comes.
// Both together stay within the share of any window.
constexpr double kSavedPart = 0.35;

} // namespace

RetryBound
Tighter(const RetryBound& aLeft, const RetryBound& aRight)
{
  return { .mShare = std::min(aLeft.mShare, aRight.mShare),
           .mBurst = std::min(aLeft.mBurst, aRight.mBurst),
           .mWindow = std::min(aLeft.mWindow, aRight.mWindow) };
}

RetryBound
UsedOf(const RetryBound& aFleet)
{
  return { .mShare = kUsedShare * aFleet.mShare,
           .mBurst = kUsedBurst * aFleet.mBurst,
           .mWindow = aFleet.mWindow };
}

RetryBudgetOptions
HomeShareOf(const RetryBound& aBound, std::size_t aHomes)
{
  const auto homes = static_cast<double>(std::max<std::size_t>(1, aHomes));
  return { .mShare = (1.0 - kSavedPart) * aBound.mShare,
           .mBurst = aBound.mBurst / homes,
           .mSavedShare = kSavedPart * aBound.mShare,
           .mWindow = aBound.mWindow };
}

} // namespace porttiller
