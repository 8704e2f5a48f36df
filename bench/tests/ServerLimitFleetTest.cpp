// Servers that name limits, over whole fleets.
#include "sim/ServerLimitFleet.h"

#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::bench;

TEST_CASE("Limited servers of a fleet get no more than they name")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto outcome = ServerLimitFleet({ .mSeed = seed }).Run();
    // The users' bound for the lowest limit: 1.5 times, and 5.
    CHECK(outcome.mWorstOverLimit <= (1.5 * 0.5 * 4.0 + 5.0) / (0.5 * 4.0));
    CHECK(outcome.mNotServed == 0.0);
  }
}

TEST_CASE("Entries that know the limits pay fewer rejected hops")
{
  const auto shared = ServerLimitFleet({}).Run();
  const auto alone =
    ServerLimitFleet({ .mScheme = LimitScheme::kHomeAlone }).Run();
  CHECK(shared.mRejectedHops < alone.mRejectedHops / 2.0);
}
