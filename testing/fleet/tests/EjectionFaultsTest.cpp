// Faults of servers and of what an ejection needs: who is set aside, who is
// not, and whether the floor holds.
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
constexpr Millis kLong{ 20'000 };
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

// Reads that go on until it is destroyed.
class Reads
{
public:
  explicit Reads(Fleet& aFleet, const char* aMethod = "GET")
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

  ~Reads()
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
  return WaitUntil(kLong, [&] { return aFleet.Phase(aServer) == aPhase; });
}

// Requests that a server runs in a while.
std::uint64_t
RunsWithin(Fleet& aFleet, int aServer, Millis aTime)
{
  const auto before = aFleet.Server(aServer).Runs();
  std::this_thread::sleep_for(aTime);
  return aFleet.Server(aServer).Runs() - before;
}

} // namespace

TEST_CASE("A failing server is ejected, and comes back once it is well")
{
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  CHECK(LedgerHas(fleet, 0));
  // While ejected it has no work; the phase tells when that is sure.
  const auto runs = RunsWithin(fleet, 0, Millis(300));
  if (fleet.Phase(0) == "ejected") {
    CHECK(runs <= 1);
  }
  fleet.Server(0).Set({});
  REQUIRE(WaitUntil(kLong, [&] { return !LedgerHas(fleet, 0); }));
  CHECK(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(100)) > 0; }));
}

TEST_CASE("The floor holds: a second failing server is only demoted")
{
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  // One after the other, so that the second is no common cause.
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

TEST_CASE("A server that the floor keeps is demoted and its work moves")
{
  Fleet fleet(Options(18));
  const Reads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "demoted"));
  REQUIRE(WaitUntil(kLong, [&] {
    return fleet.Metric(1, "porttiller_floor_refusals_total") > 0;
  }));
  CHECK_FALSE(LedgerHas(fleet, 0));
}

TEST_CASE("While the platform is away a failing server is demoted")
{
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  fleet.Platform().SetDown(true);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "demoted"));
  CHECK_FALSE(LedgerHas(fleet, 0));
  fleet.Platform().SetDown(false);
  CHECK(WaitUntil(kLong, [&] { return LedgerHas(fleet, 0); }));
}

TEST_CASE("Ejections and releases whose answers are lost are settled")
{
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  fleet.Platform().LoseWriteAnswers(1);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  CHECK(LedgerHas(fleet, 0));
  fleet.Platform().LoseWriteAnswers(1);
  fleet.Server(0).Set({});
  CHECK(WaitUntil(kLong, [&] {
    return !LedgerHas(fleet, 0) &&
           (fleet.Phase(0) == "ramping" || fleet.Phase(0) == "healthy");
  }));
}

TEST_CASE("A fault common to the whole service sets nobody aside")
{
  Fleet fleet(Options(6));
  const Reads reads(fleet);
  for (int server = 0; server < 3; ++server) {
    fleet.Server(server).Set({ .mFailPercent = 60 });
  }
  REQUIRE(WaitPhase(fleet, 0, "asking"));
  int aside = 0;
  for (int i = 0; i < 20; ++i) {
    for (int server = 0; server < 3; ++server) {
      const auto phase = fleet.Phase(server);
      aside += phase == "ejected" ? 1 : 0;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  // One may be quicker to its alarm than the others; never two of three.
  CHECK(aside <= 20);
  CHECK(reads.mAnswered > 0);
}

TEST_CASE("A home killed while its server is ejected clears its old entry")
{
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  fleet.SignalBox(1, SIGKILL);
  fleet.Server(0).Set({});
  CHECK(LedgerHas(fleet, 0));
  fleet.StartBox(1);
  CHECK(WaitUntil(kLong, [&] { return !LedgerHas(fleet, 0); }));
}

TEST_CASE("An ejected server that is reconfigured leaves no entry behind")
{
  // Found in reading: the new LocalServer held no permission to give back.
  Fleet fleet(Options(12));
  const Reads reads(fleet);
  fleet.Server(0).Set({ .mFailPercent = 60 });
  REQUIRE(WaitPhase(fleet, 0, "ejected"));
  fleet.Server(0).Set({});
  fleet.Put("BackendServer",
            Fleet::ServerName(0),
            R"({"service":"ledger","box":"box-1","slots":7,"address":")" +
              fleet.ServerAddress(0) + "\"}");
  CHECK(WaitUntil(kLong, [&] { return !LedgerHas(fleet, 0); }));
}

TEST_CASE("A cut path is avoided and not held against the server")
{
  Fleet fleet(Options(12));
  standin::LinkStandIn homeLink(fleet.HomeAddress(1));
  standin::LinkStandIn controlLink(fleet.ControlAddress(1));
  fleet.PutBox(1, homeLink.Address(), controlLink.Address());
  for (int box = 0; box < 4; ++box) {
    REQUIRE(fleet.WaitInForce(box, kLong));
  }
  const Reads reads(fleet);
  REQUIRE(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(50)) > 0; }));
  homeLink.CutForward(true);
  controlLink.CutForward(true);
  REQUIRE(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(300)) == 0; }));
  const int before = reads.mAnswered;
  CHECK(WaitUntil(kLong, [&] { return reads.mAnswered > before + 50; }));
  CHECK(fleet.Phase(0) != "ejected");
  CHECK(fleet.Phase(0) != "demoted");
  homeLink.CutForward(false);
  controlLink.CutForward(false);
  CHECK(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(100)) > 0; }));
}

TEST_CASE("A leaving box, server or server's own word ends new work")
{
  Fleet fleet(Options(6));
  const Reads reads(fleet);
  REQUIRE(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(50)) > 0; }));
  fleet.PutBox(1, fleet.HomeAddress(1), fleet.ControlAddress(1), "leaving");
  CHECK(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 0, Millis(300)) == 0; }));
  fleet.Platform().Remove({ "BackendServer", Fleet::ServerName(1) });
  CHECK(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 1, Millis(300)) == 0; }));
  const int before = reads.mAnswered;
  fleet.Server(2).Set({ .mDraining = true });
  CHECK(
    WaitUntil(kLong, [&] { return RunsWithin(fleet, 2, Millis(300)) == 0; }));
  CHECK(reads.mAnswered >= before);
}
