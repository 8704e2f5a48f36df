// Decides when a repeatable request whose attempt takes long is hedged.
//
// Load: long requests (mean service time 0.3 to 2.7 s, 1 to 3 in 100 of them 3
// to 7 times as long, latency targets of 0.5 to 8 s). Hedged after the 90th
// percentile of their route, one in ten needs a hedge while nothing fails, and
// these use up the retries that failed requests need. A caller needs the answer
// by the target: a hedge started one 90th percentile before it still ends
// within it nine times in ten, and an earlier one gains nothing.
//
// Requests that are not long are hedged after the 90th percentile.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct HedgeTiming
{
  Micros mLatencyP90{ 0 }; // of the route; zero while unknown
  Micros mTotalTime{ 0 };  // from the arrival of the request to its deadline
  Micros mElapsed{ 0 };    // since the arrival of the request
  // Latency target of its route, if the rules for long requests apply to it.
  std::optional<Millis> mLongTarget;
  // The last hedge was rejected as its home's retry budget was too low. Has an
  // effect on long requests only.
  bool mWithheld = false;
};

// The time from now, when an attempt is sent, is hedged or its hedge is
// withheld, to the next hedge. It may end after the deadline.
Micros
HedgeDelayOf(const HedgeTiming& aTiming);

} // namespace porttiller
