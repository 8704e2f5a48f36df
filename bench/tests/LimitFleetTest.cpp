// Workspace rate limits over whole fleets, with random load and faults.
#include "sim/LimitFleet.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

constexpr int kBoxes = 93;
constexpr double kPerBox = 11.8; // requests a second
constexpr double kRoom = 1.6;    // limit divided by the usual load

Micros
Seconds(double aSeconds)
{
  return Micros(static_cast<Micros::rep>(aSeconds * 1e6));
}

// 81 workspaces, three of which send several times their limit from second 10
// to 16.
LimitFleetOptions
HotFleet(std::uint64_t aSeed)
{
  auto workspaces = DrawWorkspaces(81, kPerBox * kBoxes, kRoom, aSeed);
  workspaces[0].mHotFactor = 3.0;
  workspaces[7].mHotFactor = 4.8;
  workspaces[30].mHotFactor = 7.5;
  return { .mBoxes = kBoxes, .mWorkspaces = workspaces, .mSeed = aSeed };
}

// No window of any workspace exceeds what its limit allows.
void
CheckWindows(const LimitOutcome& aOutcome)
{
  for (std::size_t i = 0; i < aOutcome.mWorkspaces.size(); ++i) {
    CAPTURE(i);
    CHECK(aOutcome.mWorkspaces[i].mWorstWindow <= 1.0);
  }
}

} // namespace

TEST_CASE("All boxes together enforce exceeded limits and reject no other "
          "workspace below its limit")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    const auto options = HotFleet(seed);
    const auto outcome = LimitFleet(options).Run();
    CheckWindows(outcome);
    for (std::size_t i = 0; i < outcome.mWorkspaces.size(); ++i) {
      const auto& workspace = outcome.mWorkspaces[i];
      if (options.mWorkspaces[i].mHotFactor == 1.0) {
        CHECK(workspace.mRejectedBelowLimit == 0);
      }
    }
  }
}

TEST_CASE("A workspace above its limit is admitted at least at its rate, and "
          "not completely")
{
  auto options = HotFleet(7);
  options.mHotFrom = Seconds(5);
  options.mHotUntil = Seconds(30);
  const auto outcome = LimitFleet(options).Run();
  for (const std::size_t hot : { 0, 7, 30 }) {
    const auto& workspace = outcome.mWorkspaces[hot];
    const auto& limit = options.mWorkspaces[hot].mLimit;
    CAPTURE(hot);
    CHECK(workspace.mAdmitted >= 25.0 * limit.mRatePerSecond);
    CHECK(workspace.mAdmitted < workspace.mOffered);
  }
}

TEST_CASE(
  "No window exceeds its limit when the collectors or all boxes are killed")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    LimitFleet some(HotFleet(seed));
    // The first boxes are the collectors of their zones.
    for (int box = 0; box < 9; ++box) {
      some.Kill(box, Seconds(11), Seconds(2));
    }
    CheckWindows(some.Run());
    LimitFleet all(HotFleet(seed));
    for (int box = 0; box < kBoxes; ++box) {
      all.Kill(box, Seconds(12), Seconds(1));
    }
    CheckWindows(all.Run());
  }
}

TEST_CASE("No window exceeds its limit when a third of the boxes is cut off")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    LimitFleet fleet(HotFleet(seed));
    for (int box = 0; box < kBoxes; box += 3) {
      fleet.Cut(box, Seconds(9), Seconds(15));
    }
    CheckWindows(fleet.Run());
  }
}

TEST_CASE("Boxes that receive no replies make no other box reject requests, "
          "and no window exceeds its limit")
{
  // A third of the boxes sends reports but receives no replies. Reports that
  // are sent again must not be counted twice.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    auto options = HotFleet(seed);
    options.mHotUntil = options.mHotFrom;
    LimitFleet fleet(options);
    for (int box = 0; box < kBoxes; ++box) {
      if (box / 3 % 3 == 1) { // includes the second collector of each zone
        fleet.CutInbound(box, Seconds(8), Seconds(60));
      }
    }
    const auto outcome = fleet.Run();
    CheckWindows(outcome);
    for (const auto& workspace : outcome.mWorkspaces) {
      CHECK(workspace.mRejectedConnected == 0);
    }
  }
}

TEST_CASE(
  "No window exceeds a limit that is lowered and raised again, and most, "
  "but not all, requests are admitted")
{
  auto options = HotFleet(3);
  options.mHotUntil = options.mHotFrom;
  LimitFleet fleet(options);
  const auto rate = options.mWorkspaces[2].mLimit.mRatePerSecond;
  fleet.ChangeLimit(2, Seconds(6), { rate / 4, rate / 4 });
  fleet.ChangeLimit(2, Seconds(18), { rate, rate });
  const auto outcome = fleet.Run();
  CheckWindows(outcome);
  const auto& workspace = outcome.mWorkspaces[2];
  CHECK(workspace.mAdmitted < workspace.mOffered);
  CHECK(workspace.mAdmitted > workspace.mOffered / 2);
}

TEST_CASE("No window exceeds its limit under random cuts and kills; without "
          "faults nothing below a limit is rejected")
{
  const bool ok = rc::check([] {
    auto options = HotFleet(Draw<std::uint64_t>(1, 1'000'000));
    const bool faults = Draw(0, 3) > 0;
    if (!faults) {
      options.mHotUntil = options.mHotFrom;
    }
    LimitFleet fleet(options);
    for (int box = 0; faults && box < kBoxes; ++box) {
      const auto from = Seconds(Draw(8, 14));
      switch (Draw(0, 12)) {
        case 0:
          fleet.Cut(box, from, from + Seconds(Draw(1, 8)));
          break;
        case 1:
          fleet.Kill(box, from, Seconds(Draw(1, 4)));
          break;
        default:
          break;
      }
    }
    for (const auto& workspace : fleet.Run().mWorkspaces) {
      RC_ASSERT(workspace.mWorstWindow <= 1.0);
      RC_ASSERT((faults || workspace.mRejectedBelowLimit == 0));
    }
  });
  CHECK(ok);
}

TEST_CASE("Nothing below a limit is rejected in the fleet of seed 172041")
{
  auto options = HotFleet(172041);
  options.mHotUntil = options.mHotFrom;
  const auto outcome = LimitFleet(options).Run();
  CheckWindows(outcome);
  for (const auto& workspace : outcome.mWorkspaces) {
    CHECK(workspace.mRejectedBelowLimit == 0);
  }
}
