// Divides a fleet's bound on retries among the homes of a service. When servers
// of a large service fail in bursts, requests from some of hundreds of homes
// need retries at other homes every few seconds, and a home whose part is less
// than one retry can never admit any. Homes hold the parts because they see
// every request that arrives, and are fewer than the entries: a fleet's burst
// of 48 divided among 80 entries leaves none of them a whole retry.
#pragma once

#include "porttiller/policy/RetryBudget.h"

#include <cstddef>

namespace porttiller {

// Retries that a service may receive in any window.
struct RetryBound
{
  double mShare = 0.2;  // of its requests
  double mBurst = 10.0; // retries beyond the share
  Millis mWindow{ 10'000 };
};

// The tighter of two bounds.
RetryBound
Tighter(const RetryBound& aLeft, const RetryBound& aRight);

// The part of an externally checked bound that homes may use. The rest is a
// reserve for retries that no home can distinguish from first attempts: calls
// that a retried request makes again, and the full burst of each box that
// restarts. Without the reserve, 255 retries arrive in 10 s where 196 are
// allowed.
RetryBound
UsablePartOf(const RetryBound& aFleet);

// The budget of one of aHomes homes; all of them together stay within aBound.
RetryBudgetOptions
HomeShareOf(const RetryBound& aBound, std::size_t aHomes);

} // namespace porttiller
