// Failures of servers and of what an ejection depends on: which servers are
// ejected, which are not, and whether the floor holds.
#include "fleet/Traffic.h"
#include "standin/LinkStandIn.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 22200;
constexpr Millis kWait{ 20'000 };
const ObjectKey kLedger{ "EjectionLedger", "ledger" };

// Box 0 is the entry; three boxes with one server of 6 slots each.
FleetOptions
Options(int aFloor)
{
  return { .mBoxes = 4,
           .mFirstServerBox = 1,
           .mSlots = 6,
           .mFloorSlots = aFloor,
           .mPortBase = kPortBase,
           .mExtraSettings = R"(, "timing": { "probe_interval_ms": 200 })" };
}

// Sends repeatable requests in the background until it is destroyed.
class BackgroundReads
{
public:
  explicit BackgroundReads(Fleet& aFleet, const char* aMethod = "GET")
  {
    for (int i = 0; i < 4; ++i) {
      mThreads.emplace_back([this, &aFleet, aMethod] {
        while (!mStop) {
          const auto reply = aFleet.Send(0, aMethod, "/history", "");
          mAnswered += reply.mStatus == 200 ? 1 : 0;
          std::this_thread::sleep_for(Millis(5));
        }
      });
    }
  }

  ~BackgroundReads()
  {
    mStop = true;
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

  std::atomic<int> mAnswered{ 0 };

private:
  std::atomic<bool> mStop{ false };
  std::vector<std::thread> mThreads;
};

bool
LedgerHas(Fleet& aFleet, int aServer)
{
  return aFleet.Platform().SpecOf(kLedger).find(
           "\"" + Fleet::ServerName(aServer) + "\"") != std::string::npos;
}

bool
WaitPhase(Fleet& aFleet, int aServer, const std::string& aPhase)
{
  return WaitUntil(kWait, [&] { return aFleet.Phase(aServer) == aPhase; });
}

// The number of requests that a server starts within a period.
std::uint64_t
RunsWithin(Fleet& aFleet, int aServer, Millis aPeriod)
{
  const auto before = aFleet.Server(aServer).Runs();
  std::this_thread::sleep_for(aPeriod);
  return aFleet.Server(aServer).Runs() - before;
}

} // namespace

TEST_CASE("A failing server is ejected and returns to use once it recovers")
{
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  CHECK(LedgerHas(fleet, 0));
  // An ejected server gets no requests, except one that was already on its way.
  // The check applies only if the server is still ejected after the period.
  const auto runs = RunsWithin(fleet, 0, Millis(300));
  if (fleet.Phase(0) == "ejected") {
    CHECK(runs <= 1);
  }
  fleet.Server(0).Set({});
  REQUIRE(WaitUntil(kWait, [&] { return !LedgerHas(fleet, 0); }));
  CHECK(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(100)) > 0; }));
}

TEST_CASE("A second failing server is not ejected when the floor allows only "
          "one ejection")
{
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  // The failures begin one after the other, so that they are not taken for a
  // common cause.
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  fleet.Server(1).Set({ .mFailPercent = 60 });
  for (int i = 0; i < 40; ++i) {
    int ejected = 0;
    for (int server = 0; server < 3; ++server) {
      ejected += fleet.Phase(server) == "ejected" ? 1 : 0;
    }
    REQUIRE(ejected <= 1);
    std::this_thread::sleep_for(Millis(50));
  }
}

TEST_CASE("A failing server that the floor keeps in use is demoted, without a "
          "ledger entry")
{
  Fleet fleet(Options(18));
  const BackgroundReads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "demoted"));
  REQUIRE(WaitUntil(kWait, [&] {
    return fleet.Metric(1, "porttiller_floor_refusals_total") > 0;
  }));
  CHECK_FALSE(LedgerHas(fleet, 0));
}

TEST_CASE("A failing server is demoted while the platform is unavailable and "
          "enters the ledger after that")
{
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  fleet.Platform().SetDown(true);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "demoted"));
  CHECK_FALSE(LedgerHas(fleet, 0));
  fleet.Platform().SetDown(false);
  CHECK(WaitUntil(kWait, [&] { return LedgerHas(fleet, 0); }));
}

TEST_CASE(
  "Ejection and release complete although the platform's answers are lost")
{
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  fleet.Platform().LoseWriteAnswers(1);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  CHECK(LedgerHas(fleet, 0));
  fleet.Platform().LoseWriteAnswers(1);
  fleet.Server(0).Set({});
  CHECK(WaitUntil(kWait, [&] {
    return !LedgerHas(fleet, 0) &&
           (fleet.Phase(0) == "ramping" || fleet.Phase(0) == "healthy");
  }));
}

TEST_CASE("A fault common to all servers of a service ejects no more than one "
          "on average")
{
  Fleet fleet(Options(6));
  const BackgroundReads reads(fleet);
  for (int server = 0; server < 3; ++server) {
    fleet.Server(server).Set({ .mFailPercent = 60 });
  }
  REQUIRE(WaitPhase(fleet, 0, "asking"));
  int ejected = 0;
  for (int i = 0; i < 20; ++i) {
    for (int server = 0; server < 3; ++server) {
      const auto phase = fleet.Phase(server);
      ejected += phase == "ejected" ? 1 : 0;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  // One server may be detected and ejected before the others, but not two of
  // three: the 20 samples contain no more than one ejected server on average.
  CHECK(ejected <= 20);
  CHECK(reads.mAnswered > 0);
}

TEST_CASE("A home that is killed while its server is ejected removes the "
          "ledger entry after its restart")
{
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  fleet.SignalBox(1, SIGKILL);
  fleet.Server(0).Set({});
  CHECK(LedgerHas(fleet, 0));
  fleet.StartBox(1);
  CHECK(WaitUntil(kWait, [&] { return !LedgerHas(fleet, 0); }));
}

TEST_CASE("An ejected server that is reconfigured leaves no ledger entry")
{
  // Guards against a new LocalServer that does not know the permission of its
  // predecessor and therefore never returns it.
  Fleet fleet(Options(12));
  const BackgroundReads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  fleet.Server(0).Set({});
  fleet.Put("BackendServer",
            Fleet::ServerName(0),
            R"({"service":"ledger","box":"box-1","slots":7,"address":")" +
              fleet.ServerAddress(0) + "\"}");
  CHECK(WaitUntil(kWait, [&] { return !LedgerHas(fleet, 0); }));
}

TEST_CASE("A cut network path is avoided without ejecting or demoting the "
          "server, and used again after the cut")
{
  Fleet fleet(Options(12));
  standin::LinkStandIn homeLink(fleet.HomeAddress(1));
  standin::LinkStandIn controlLink(fleet.ControlAddress(1));
  fleet.PutBox(1, homeLink.Address(), controlLink.Address());
  for (int box = 0; box < 4; ++box) {
    REQUIRE(fleet.WaitInForce(box, kWait));
  }
  const BackgroundReads reads(fleet);
  REQUIRE(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(50)) > 0; }));
  homeLink.CutForward(true);
  controlLink.CutForward(true);
  REQUIRE(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(300)) == 0; }));
  const int before = reads.mAnswered;
  CHECK(WaitUntil(kWait, [&] { return reads.mAnswered > before + 50; }));
  CHECK(fleet.Phase(0) != "ejected");
  CHECK(fleet.Phase(0) != "demoted");
  homeLink.CutForward(false);
  controlLink.CutForward(false);
  CHECK(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(100)) > 0; }));
}

TEST_CASE(
  "A leaving box, a removed server and a draining server get no new requests")
{
  Fleet fleet(Options(6));
  const BackgroundReads reads(fleet);
  REQUIRE(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(50)) > 0; }));
  fleet.PutBox(1, fleet.HomeAddress(1), fleet.ControlAddress(1), "leaving");
  CHECK(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 0, Millis(300)) == 0; }));
  fleet.Platform().Remove({ "BackendServer", Fleet::ServerName(1) });
  CHECK(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 1, Millis(300)) == 0; }));
  const int before = reads.mAnswered;
  fleet.Server(2).Set({ .mDraining = true });
  CHECK(
    WaitUntil(kWait, [&] { return RunsWithin(fleet, 2, Millis(300)) == 0; }));
  CHECK(reads.mAnswered >= before);
}
