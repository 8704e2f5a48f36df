#include "porttiller/policy/HedgePolicy.h"

#include <algorithm>

namespace porttiller {

namespace {

// A hedged attempt costs a round trip; for routes that answer within this time
// it gains nothing.
constexpr Micros kMinHedgeDelay{ 50'000 };
// Divides the total time of a request while no home has reported the latency of
// its route: callers' deadlines are several times the usual latency.
constexpr int kHedgeUnknownPart = 4;
// While the 90th percentile is unknown, a hedge is due at the target divided by
// this: max(p90, target - p90) is at least half the target for any p90.
constexpr int kEarliestTargetPart = 2;
// A hedge that was withheld is tried again, at any home, after the target
// divided by this: with five requests a second a home saves one retry in two
// seconds, and homes that are asked sooner reject once more.
constexpr int kWithheldTargetPart = 2;

} // namespace

Micros
HedgeDelayOf(const HedgeTiming& aTiming)
{
  const auto p90 = aTiming.mLatencyP90;
  const bool known = p90 > Micros(0);
  const auto usual = std::max<Micros>(
    kMinHedgeDelay, known ? p90 : aTiming.mTotalTime / kHedgeUnknownPart);
  if (!aTiming.mLongTarget) {
    return usual;
  }
  // A caller that waits less than the target needs the answer by its deadline.
  const auto needed =
    std::min<Micros>(*aTiming.mLongTarget, aTiming.mTotalTime);
  if (aTiming.mWithheld) {
    return std::max<Micros>(usual, needed / kWithheldTargetPart);
  }
  const auto due = known ? needed - p90 : needed / kEarliestTargetPart;
  return std::max<Micros>(usual, due - aTiming.mElapsed);
}

} // namespace porttiller
