// The load of docs/design/hard-load.md, with and without the rules for long
// requests.
#include "sim/HardLoadFleet.h"

#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

constexpr std::uint64_t kSeeds = 5;

} // namespace

// Guards against rules that demote busy servers as the usual ones do.
TEST_CASE("The rules for long requests remove most false alarms")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const auto usual =
      HardLoadFleet({ .mLongRules = false, .mSeed = seed }).Run();
    const auto ruled = HardLoadFleet({ .mSeed = seed }).Run();
    CHECK(usual.mFalseAlarms > 100);
    CHECK(ruled.mFalseAlarms < usual.mFalseAlarms / 5);
  }
}

TEST_CASE("Retries under hard load stay within the bound of the service")
{
  for (const bool rules : { false, true }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(rules);
      CAPTURE(seed);
      const auto outcome =
        HardLoadFleet({ .mLongRules = rules, .mSeed = seed }).Run();
      CHECK(outcome.mRetries > 0);
      CHECK(outcome.mRetries <= outcome.mRetriesAllowed);
    }
  }
}
