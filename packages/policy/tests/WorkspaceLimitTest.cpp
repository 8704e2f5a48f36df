// The parts that keep workspaces' limits, one by one; whole fleets of them are
// tried in bench/tests/LimitFleetTest.cpp.
#include "porttiller/policy/LimitGate.h"
#include "porttiller/policy/UsageCollector.h"
#include "porttiller/policy/UseReporter.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const WorkspaceName kName("w");
constexpr RequestLimit kLimit{ .mRatePerSecond = 10.0, .mBurst = 10.0 };
const TimePoint kStart(Micros(50'000'000));
const std::vector<BoxName> kCollectors = { BoxName("first"),
                                           BoxName("second") };

WorkspaceGrants
Grants(double aShare)
{
  return { { .mWorkspace = kName, .mShares = { aShare, aShare, aShare } } };
}

int
AdmittedOf(LimitGate& aGate, int aOffers, TimePoint aNow)
{
  int admitted = 0;
  for (int i = 0; i < aOffers; ++i) {
    const auto verdict = aGate.Offer(
      kName, kLimit, Priority::kNormal, aNow, static_cast<std::uint64_t>(i));
    admitted += verdict.mAdmitted ? 1 : 0;
  }
  return admitted;
}

int
AdmittedIn(const WorkspaceUses& aUses)
{
  int sum = 0;
  for (const auto& use : aUses) {
    sum += use.mAdmitted;
  }
  return sum;
}

// Offers aPerSecond and admits them all, as told every tick.
WorkspaceGrants
Feed(UsageCollector& aCollector,
     const WorkspaceUse& aPerTick,
     Millis aTime,
     TimePoint& aNow)
{
  constexpr Millis kTick{ 125 };
  WorkspaceGrants grants;
  for (const auto end = aNow + aTime; aNow < end; aNow += kTick) {
    aCollector.OnEntryUse({ aPerTick });
    grants = aCollector.Grant([](const auto&) { return kLimit; }, aNow);
  }
  return grants;
}

} // namespace

TEST_CASE("LimitGate lets everything pass that no collector holds back")
{
  LimitGate gate;
  gate.SetBoxes(100);
  gate.OnGrants({}, false, kStart);
  CHECK(AdmittedOf(gate, 20, kStart) == 20);
  const auto uses = gate.TakeUse(kStart);
  REQUIRE(uses.size() == 1);
  CHECK(uses[0].mAdmitted == 20);
  CHECK(uses[0].mOffered[static_cast<std::size_t>(Priority::kNormal)] == 20);
  CHECK(gate.TakeUse(kStart).empty());
  gate.GiveBack(kName);
  CHECK(gate.TakeUse(kStart).at(0).mAdmitted == -1);
}

TEST_CASE("LimitGate keeps to its share, also of few requests")
{
  int admitted = 0;
  constexpr int kGates = 400;
  for (int i = 0; i < kGates; ++i) {
    LimitGate gate;
    gate.OnGrants({}, false, kStart);
    gate.Offer(kName,
               kLimit,
               Priority::kNormal,
               kStart,
               static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15U);
    gate.OnGrants(Grants(0.5), false, kStart);
    admitted += AdmittedOf(gate, 1, kStart);
  }
  CHECK(admitted > kGates * 4 / 10);
  CHECK(admitted < kGates * 6 / 10);
}

TEST_CASE("Without grants from a collector a gate keeps to its own part")
{
  LimitGate gate;
  gate.SetBoxes(5); // 2 requests a second
  gate.OnGrants({}, false, kStart);
  CHECK(AdmittedOf(gate, 15, kStart) == 15);
  auto now = kStart + Millis(2000); // its shares hold no more
  CHECK(AdmittedOf(gate, 1, now) == 1);
  now += Millis(1000);
  const int first = AdmittedOf(gate, 30, now);
  CHECK(first <= 3);
  now += Millis(1000);
  CHECK(AdmittedOf(gate, 30, now) == 2);
  gate.OnGrants({}, false, now);
  CHECK(AdmittedOf(gate, 10, now) == 10);
}

TEST_CASE("An entry alone lets no more through than the whole limit")
{
  LimitGate gate;
  gate.SetBoxes(100);
  auto now = kStart;
  int admitted = 0;
  constexpr Millis kStep{ 10 };
  for (; now < kStart + LimitBounds().mWindow; now += kStep) {
    gate.OnGrants({}, false, now);
    admitted += AdmittedOf(gate, 10, now);
  }
  CHECK(admitted <= 5 * 10 + 10 + SpareOf(kLimit, {}));
  CHECK(admitted >= 5 * 10 + 10);
}

TEST_CASE("A collector that warms up lowers shares and lifts none")
{
  LimitGate gate;
  gate.OnGrants(Grants(0.5), false, kStart);
  gate.OnGrants({}, true, kStart);
  CHECK(AdmittedOf(gate, 8, kStart) == 4);
  gate.OnGrants(Grants(0.25), true, kStart);
  CHECK(AdmittedOf(gate, 8, kStart) == 2);
  gate.OnGrants({}, false, kStart);
  CHECK(AdmittedOf(gate, 8, kStart) == 8);
}

TEST_CASE("UsageCollector grants what the limit leaves, urgent kinds first")
{
  UsageCollector collector;
  auto now = kStart;
  // 48 requests a second, of which less than the rate passes.
  const WorkspaceUse use{ .mWorkspace = kName,
                          .mOffered = { 2, 2, 2 },
                          .mAdmitted = 1 };
  const auto grants = Feed(collector, use, Millis(10'000), now);
  REQUIRE(grants.size() == 1);
  const auto& shares = grants[0].mShares;
  CHECK(shares[0] > shares[1]);
  CHECK(shares[1] >= shares[2]);
  CHECK(shares[2] > 0.1);
  const WorkspaceUse usual{ .mWorkspace = kName,
                            .mOffered = { 0, 1, 0 },
                            .mAdmitted = 1 };
  CHECK(Feed(collector, usual, Millis(3000), now).empty());
}

TEST_CASE("UsageCollector counts other zones, and tells its own once")
{
  UsageCollector collector;
  const WorkspaceUse use{ .mWorkspace = kName,
                          .mOffered = { 0, 40, 0 },
                          .mAdmitted = 40 };
  collector.OnZoneUse({ use });
  CHECK(collector.TakeZoneUse().empty());
  collector.OnEntryUse({ use });
  CHECK(collector.TakeZoneUse() == WorkspaceUses{ use });
  CHECK(collector.TakeZoneUse().empty());
  const auto grants =
    collector.Grant([](const auto&) { return kLimit; }, kStart);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].mShares[1] < 0.5);
  // A limit that is taken away holds nobody back.
  CHECK(
    collector.Grant([](const auto&) { return std::nullopt; }, kStart).empty());
  CHECK(collector.Idle());
}

TEST_CASE("UseReporter tells counts again that a collector may not have")
{
  LimitGate gate;
  UseReporter reporter;
  CHECK_FALSE(reporter.Next(gate, kCollectors, kStart));
  AdmittedOf(gate, 3, kStart);
  const auto asked = reporter.Next(gate, kCollectors, kStart);
  REQUIRE(asked);
  CHECK(asked->mCollector == kCollectors[0]);
  CHECK(asked->mQuestion != 0);
  AdmittedOf(gate, 2, kStart);
  const auto told = reporter.Next(gate, kCollectors, kStart + Millis(250));
  REQUIRE(told);
  CHECK(told->mQuestion == 0);
  // No reply: all five go to the second one.
  reporter.OnReply(asked->mQuestion, false, kStart + Millis(400));
  const auto again = reporter.Next(gate, kCollectors, kStart + Millis(500));
  REQUIRE(again);
  CHECK(again->mCollector == kCollectors[1]);
  CHECK(AdmittedIn(again->mUses) == 5);
  // A late reply of the first one confirms nothing.
  reporter.OnReply(asked->mQuestion, true, kStart + Millis(510));
  // No reply again: they are not told a third time, new ones are.
  reporter.OnReply(again->mQuestion, false, kStart + Millis(900));
  AdmittedOf(gate, 1, kStart);
  const auto third = reporter.Next(gate, kCollectors, kStart + Millis(1000));
  REQUIRE(third);
  CHECK(AdmittedIn(third->mUses) == 1);
}

TEST_CASE("UseReporter moves what is unconfirmed to a new first collector")
{
  LimitGate gate;
  UseReporter reporter;
  AdmittedOf(gate, 3, kStart);
  const auto asked = reporter.Next(gate, kCollectors, kStart);
  REQUIRE(asked);
  const auto moved =
    reporter.Next(gate, { BoxName("third") }, kStart + Millis(250));
  REQUIRE(moved);
  CHECK(moved->mCollector == BoxName("third"));
  CHECK(AdmittedIn(moved->mUses) == 3);
}
