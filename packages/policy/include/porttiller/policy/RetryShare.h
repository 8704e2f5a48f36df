// How a fleet's bound on repeats is dealt out over the homes of a service.
// Answers spells of failing servers at a large service: every few seconds some
// of hundreds of homes need repeats at others, and a home that holds less than
// one repeat can never serve any. Held by homes, as they see all that arrives
// and are fewer than the entries: dealt out over 80 entries, a fleet's burst of
// 48 left none of them a whole repeat.
#pragma once

#include "porttiller/policy/RetryBudget.h"

#include <cstddef>

namespace porttiller {

// Repeats that a service may get in any window.
struct RetryBound
{
  double mShare = 0.2;  // of its requests
  double mBurst = 10.0; // besides
  Millis mWindow{ 10'000 };
};

// The tighter of two bounds.
RetryBound
Tighter(const RetryBound& aLeft, const RetryBound& aRight);

// What homes may use of a bound that is checked from outside. The rest is for
// what no home can tell from a first attempt: the calls that repeated requests
// make once more, and boxes that start anew with a full burst. With all of it,
// 255 repeats arrived in 10 s where 196 were allowed.
RetryBound
UsedOf(const RetryBound& aFleet);

// The part of one home among so many; all of them together stay within aBound.
RetryBudgetOptions
HomeShareOf(const RetryBound& aBound, std::size_t aHomes);

} // namespace porttiller
