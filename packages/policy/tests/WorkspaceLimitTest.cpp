// Unit tests of the classes that enforce the limits of workspaces;
// bench/tests/LimitFleetTest.cpp tests them in simulated fleets.
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

// Reports aPerTick at each tick for aTime; returns the last grants.
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

TEST_CASE("LimitGate admits workspaces without a grant")
{
  LimitGate gate;
  gate.SetBoxes(100);
  gate.OnGrants({}, false, kStart);
  CHECK(AdmittedOf(gate, 20, kStart) == 20);
  const auto uses = gate.TakeUnreportedUse(kStart);
  REQUIRE(uses.size() == 1);
  CHECK(uses[0].mAdmitted == 20);
  CHECK(uses[0].mOffered[static_cast<std::size_t>(Priority::kNormal)] == 20);
  CHECK(gate.TakeUnreportedUse(kStart).empty());
  gate.Refund(kName);
  CHECK(gate.TakeUnreportedUse(kStart).at(0).mAdmitted == -1);
}

TEST_CASE("LimitGates with one request each admit the granted share")
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

TEST_CASE("LimitGate enforces its local part after grants have expired")
{
  LimitGate gate;
  gate.SetBoxes(5); // 2 requests per second
  gate.OnGrants({}, false, kStart);
  CHECK(AdmittedOf(gate, 15, kStart) == 15);
  auto now = kStart + Millis(2000); // the grants have expired
  CHECK(AdmittedOf(gate, 1, now) == 1);
  now += Millis(1000);
  const int first = AdmittedOf(gate, 30, now);
  CHECK(first <= 3);
  now += Millis(1000);
  CHECK(AdmittedOf(gate, 30, now) == 2);
  gate.OnGrants({}, false, now);
  CHECK(AdmittedOf(gate, 10, now) == 10);
}

TEST_CASE("LimitGate admits no more than the whole limit of a workspace")
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
  CHECK(admitted <= 5 * 10 + 10 + ToleranceOf(kLimit, {}));
  CHECK(admitted >= 5 * 10 + 10);
}

TEST_CASE("A collector that warms up lowers shares and raises none")
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

TEST_CASE("UsageCollector grants larger shares to urgent priorities")
{
  UsageCollector collector;
  auto now = kStart;
  // 48 requests per second, of which 8 are admitted: less than the rate of 10.
  const WorkspaceUse use{ .mWorkspace = kName,
                          .mOffered = { 2, 2, 2 },
                          .mAdmitted = 1 };
  const auto grants = Feed(collector, use, Millis(10'000), now);
  REQUIRE(grants.size() == 1);
  const auto& shares = grants[0].mShares;
  CHECK(shares[0] > shares[1]);
  CHECK(shares[1] >= shares[2]);
  CHECK(shares[2] > 0.1);
  const WorkspaceUse lowUse{ .mWorkspace = kName,
                             .mOffered = { 0, 1, 0 },
                             .mAdmitted = 1 };
  CHECK(Feed(collector, lowUse, Millis(3000), now).empty());
}

TEST_CASE("UsageCollector counts other zones and sends its own counts once")
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
  // A workspace whose limit is removed gets no grant.
  CHECK(
    collector.Grant([](const auto&) { return std::nullopt; }, kStart).empty());
  CHECK(collector.Idle());
}

TEST_CASE("UseReporter sends unconfirmed counts once more")
{
  LimitGate gate;
  UseReporter reporter;
  CHECK_FALSE(reporter.Next(gate, kCollectors, kStart));
  AdmittedOf(gate, 3, kStart);
  const auto report = reporter.Next(gate, kCollectors, kStart);
  REQUIRE(report);
  CHECK(report->mCollector == kCollectors[0]);
  CHECK(report->mReplyToken != 0);
  AdmittedOf(gate, 2, kStart);
  const auto next = reporter.Next(gate, kCollectors, kStart + Millis(250));
  REQUIRE(next);
  CHECK(next->mReplyToken == 0);
  // No reply: all five go to the second collector.
  reporter.OnReply(report->mReplyToken, false, kStart + Millis(400));
  const auto again = reporter.Next(gate, kCollectors, kStart + Millis(500));
  REQUIRE(again);
  CHECK(again->mCollector == kCollectors[1]);
  CHECK(AdmittedIn(again->mUses) == 5);
  // A late reply of the first collector confirms nothing.
  reporter.OnReply(report->mReplyToken, true, kStart + Millis(510));
  // No reply again: the five are not sent a third time, new counts are.
  reporter.OnReply(again->mReplyToken, false, kStart + Millis(900));
  AdmittedOf(gate, 1, kStart);
  const auto third = reporter.Next(gate, kCollectors, kStart + Millis(1000));
  REQUIRE(third);
  CHECK(AdmittedIn(third->mUses) == 1);
}

TEST_CASE("UseReporter sends unconfirmed counts to a new first collector")
{
  LimitGate gate;
  UseReporter reporter;
  AdmittedOf(gate, 3, kStart);
  const auto report = reporter.Next(gate, kCollectors, kStart);
  REQUIRE(report);
  const auto moved =
    reporter.Next(gate, { BoxName("third") }, kStart + Millis(250));
  REQUIRE(moved);
  CHECK(moved->mCollector == BoxName("third"));
  CHECK(AdmittedIn(moved->mUses) == 3);
}
