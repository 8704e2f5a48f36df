// Servers that name limits, over whole fleets.
#include "sim/ServerLimitFleet.h"

#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

// The users' bounds in a window.
constexpr double kWindowS = 4.0;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5.0; // requests
constexpr double kLowestLimit = ServerLimitOptions{}.mMinLimit;
constexpr double kMaxOverLowestLimit =
  kLimitFactor + kLimitSlack / (kLowestLimit * kWindowS);

} // namespace

TEST_CASE("Limited servers of a fleet get no more than they name")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto outcome = ServerLimitFleet({ .mSeed = seed }).Run();
    CHECK(outcome.mWorstOverLimit <= kMaxOverLowestLimit);
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
