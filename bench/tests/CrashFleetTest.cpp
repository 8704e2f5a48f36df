// Requests that crash servers, over whole fleets with message losses.
#include "sim/CrashFleet.h"

#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

// The users' bounds.
constexpr int kMaxLateArrivals = 3;
constexpr double kContactS = 3.0;
constexpr double kControlBytesPerS = 3000.0; // of a box, for all control

void
CheckOutcome(const CrashFleetOptions& aOptions)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    auto options = aOptions;
    options.mSeed = seed;
    const auto outcome = CrashFleet(options).Run();
    CHECK(outcome.mMostLate <= kMaxLateArrivals);
    CHECK(outcome.mAllKnowS >= 0.0);
    CHECK(outcome.mAllKnowS <= kContactS);
    CHECK(outcome.mBytesPerBoxSecond <= kControlBytesPerS);
    CHECK(outcome.mMostRecords <= options.mTable.mMaxRecords);
  }
}

} // namespace

TEST_CASE("All boxes reject a crashing request in time")
{
  CheckOutcome({ .mBoxes = 93 });
  CheckOutcome({ .mBoxes = 93, .mCrashing = 8 });
  CheckOutcome({ .mBoxes = 353, .mZones = 5, .mCrashing = 8 });
  CheckOutcome({ .mBoxes = 93, .mLoss = 0.2 });
}

TEST_CASE("Restarted boxes learn of a crashing request again")
{
  CheckOutcome({ .mBoxes = 93, .mRestartEvery = 3 });
}

TEST_CASE("Boxes that tell each other nothing lose more servers")
{
  const auto joined = CrashFleet({ .mBoxes = 93 }).Run();
  const auto alone =
    CrashFleet({ .mBoxes = 93, .mScheme = CrashScheme::kAlone }).Run();
  CHECK(joined.mServersLost < alone.mServersLost);
}
