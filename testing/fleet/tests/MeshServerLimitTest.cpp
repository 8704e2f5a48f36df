// Servers that register with their box, and name a limit or that they are
// leaving in their answers only.
#include "fleet/MeshFleet.h"
#include "fleet/ThrottleLog.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kBoxes = 4;
constexpr int kPortBase = 29'600;
constexpr Millis kLong{ 20'000 };
constexpr Millis kGap{ 10 };

// Sends GET requests to all boxes in turn until aStop, and records what reaches
// the server of box 0.
class Traffic
{
public:
  explicit Traffic(MeshFleet& aFleet)
    : mFleet(aFleet)
    , mServer(aFleet.Server(0).Id())
  {
    aFleet.Server(0).SetOnArrival(
      [this](const auto& aId) { mLog.OnArrival(aId, mServer); });
    mThread = std::thread([this] { Run(); });
  }

  ~Traffic() { Stop(); }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  void Stop()
  {
    mStop = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  ThrottleLog& Log() { return mLog; }
  const std::string& Server() const { return mServer; }
  int Told() const { return mTold; }
  int Arrivals(TimePoint aFrom) const { return mLog.Arrivals(mServer, aFrom); }

private:
  void Run()
  {
    for (int n = 0; !mStop; ++n) {
      const int box = n % kBoxes;
      const auto id = "t" + std::to_string(n);
      mLog.OnSent(id, box);
      const auto reply = mFleet.Send(box, "GET", "/safe/" + id, id);
      mTold += mLog.OnReply(box, reply) ? 1 : 0;
      std::this_thread::sleep_for(kGap);
    }
  }

  MeshFleet& mFleet;
  const std::string mServer;
  ThrottleLog mLog{ "Server-Limit", "Server-Leaving" };
  std::atomic<bool> mStop{ false };
  std::atomic<int> mTold{ 0 };
  std::thread mThread;
};

void
RestartBox(MeshFleet& aFleet, int aBox)
{
  aFleet.SignalBox(aBox, SIGKILL);
  aFleet.WaitForBoxExit(aBox, kLong);
  aFleet.StartBox(aBox);
}

} // namespace

TEST_CASE("A server that rejects and names its limit gets no more than that")
{
  MeshFleet fleet(kBoxes, kPortBase);
  Traffic traffic(fleet);
  for (const bool full : { true, false }) {
    fleet.Server(0).Set({ .mFull = full, .mLimit = "1" });
    std::this_thread::sleep_for(Millis(6000));
    CHECK(traffic.Arrivals(Now() - ThrottleLog::kWindow) <=
          ThrottleLog::Allowed(1.0));
  }
  CHECK(traffic.Told() > 0);
  RestartBox(fleet, 0);
  traffic.Log().Excuse(0);
  std::this_thread::sleep_for(Millis(6000));
  CHECK(traffic.Arrivals(Now() - ThrottleLog::kWindow) <=
        ThrottleLog::Allowed(1.0));
  traffic.Stop();
}

TEST_CASE("Answers without the signature or of another request name no limit")
{
  MeshFleet fleet(kBoxes, kPortBase);
  for (const standin::MeshServerFaults& faults :
       { standin::MeshServerFaults{ .mUnsigned = true, .mLimit = "0" },
         standin::MeshServerFaults{ .mForeignId = true, .mLeaving = true } }) {
    fleet.Server(0).Set(faults);
    for (int n = 0; n < 20; ++n) {
      const auto id = "u" + std::to_string(n);
      fleet.Send(0, "GET", "/safe/" + id, id);
    }
    const auto state = fleet.State(0);
    CHECK(state.find("limit=none") != std::string::npos);
    CHECK(state.find("says_leaving=false") != std::string::npos);
  }
}

TEST_CASE("A server that leaves by its answers alone stays unused")
{
  MeshFleet fleet(kBoxes, kPortBase);
  Traffic traffic(fleet);
  std::this_thread::sleep_for(Millis(500));
  fleet.Server(0).Set({ .mLeaving = true });
  // All boxes learn of it by the record of the server's box, also while its
  // heartbeats say otherwise and after a restart.
  CHECK(fleet.WaitServers(kBoxes - 1));
  const auto known = Now();
  for (int n = 0; n < 5; ++n) {
    CHECK(fleet.Server(0).SendHeartbeat());
  }
  RestartBox(fleet, 0);
  traffic.Log().Excuse(0);
  CHECK(WaitUntil(kLong, [&] { return fleet.Ready(0); }));
  for (int n = 0; n < 5; ++n) {
    fleet.Server(0).SendHeartbeat();
  }
  CHECK(fleet.WaitServers(kBoxes - 1));
  std::this_thread::sleep_for(Millis(3000));
  traffic.Stop();
  CHECK(traffic.Told() > 0);
  CHECK(traffic.Log().AfterLeaving(traffic.Server()) == 0);
  CHECK(traffic.Arrivals(known + Millis(100)) == 0);
}
