// Servers that name a limit of requests per second in their answers, or that
// they are leaving.
#include "fleet/Fleet.h"
#include "fleet/ThrottleLog.h"
#include "fleet/Traffic.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kBoxes = 6;
constexpr int kServersPerBox = 2;
constexpr int kServers = kBoxes * kServersPerBox;
constexpr int kClients = 12;
constexpr Millis kClientGap{ 100 }; // 120 requests per second in all
constexpr Millis kWork{ 20 };
constexpr Millis kUnlimited{ 1500 }; // traffic before the limits are named
constexpr Millis kRun{ 12'000 };
constexpr double kMinServed = 0.99;

FleetOptions
Options()
{
  return { .mBoxes = kBoxes,
           .mServersPerBox = kServersPerBox,
           .mZones = 3,
           .mSlots = 4,
           .mFloorSlots = 4,
           .mPortBase = 29'200,
           .mLinks = true,
           .mDefaultDeadline = Millis(2000) };
}

// Sends GET requests to all boxes in turn and records what reaches the servers.
class LimitedTraffic
{
public:
  explicit LimitedTraffic(Fleet& aFleet)
    : mFleet(aFleet)
  {
    for (int server = 0; server < kServers; ++server) {
      mFleet.Server(server).Set(
        { .mServiceMs = static_cast<int>(kWork.count()) });
      mFleet.Server(server).SetOnArrival([this, server](const auto& aId) {
        mLog.OnArrival(aId, Fleet::ServerName(server));
      });
    }
    for (int client = 0; client < kClients; ++client) {
      mClients.emplace_back([this, client] { Send(client); });
    }
    std::this_thread::sleep_for(kUnlimited);
  }

  ~LimitedTraffic() { Stop(); }
  LimitedTraffic(const LimitedTraffic&) = delete;
  LimitedTraffic& operator=(const LimitedTraffic&) = delete;

  void Limit(int aServer, const std::string& aLimit, int aRejectPercent = 0)
  {
    mNamedAt = Now();
    mFleet.Server(aServer).Set({ .mServiceMs = static_cast<int>(kWork.count()),
                                 .mLimit = aLimit,
                                 .mRejectPercent = aRejectPercent });
  }

  void Leave(int aServer)
  {
    mFleet.Server(aServer).Set(
      { .mServiceMs = static_cast<int>(kWork.count()), .mLeaving = true });
  }

  void Stop()
  {
    mStop = true;
    for (auto& client : mClients) {
      client.join();
    }
    mClients.clear();
    for (int server = 0; server < kServers; ++server) {
      mFleet.Server(server).SetOnArrival({});
    }
  }

  void CheckLimit(int aServer, double aLimit) const
  {
    const int worst = mLog.WorstWindow(Fleet::ServerName(aServer), mNamedAt);
    MESSAGE("limit " << aLimit << ": worst 4 s " << worst << ", allowed "
                     << ThrottleLog::Allowed(aLimit) << "; served "
                     << mServed.Share());
    CHECK(worst <= ThrottleLog::Allowed(aLimit));
  }

  void Excuse(int aBox) { mLog.Excuse(aBox); }
  const ThrottleLog& Log() const { return mLog; }
  double ServedShare() const { return mServed.Share(); }
  int NotServed() const { return mServed.mSent - mServed.mServed; }

private:
  void Send(int aClient)
  {
    for (int n = 0; !mStop; ++n) {
      const auto id = std::to_string(aClient) + "-" + std::to_string(n);
      const int box = (aClient + n) % kBoxes;
      mLog.OnSent(id, box);
      const auto reply = mFleet.Send(box,
                                     "GET",
                                     "/readings/" + id,
                                     "",
                                     { { "X-Request-Id", id } },
                                     Millis(4000));
      ++mServed.mSent;
      mServed.mServed += reply.mStatus == 200 ? 1 : 0;
      mLog.OnReply(box, reply);
      std::this_thread::sleep_for(kClientGap);
    }
  }

  Fleet& mFleet;
  ThrottleLog mLog{ "Porttiller-Server-Limit", "Porttiller-Server-Leaving" };
  ServedCount mServed;
  TimePoint mNamedAt;
  std::atomic<bool> mStop{ false };
  std::vector<std::thread> mClients;
};

// Servers 0, 3 and 6 are on boxes of their own.
constexpr std::array kLimited = { 0, 3, 6 };
const std::array<std::string, 3> kLimits = { "1", "1.4", "3" };

void
LimitThree(LimitedTraffic& aTraffic, int aRejectPercent = 0)
{
  for (std::size_t i = 0; i < kLimited.size(); ++i) {
    aTraffic.Limit(kLimited.at(i), kLimits.at(i), aRejectPercent);
  }
}

void
CheckThree(const LimitedTraffic& aTraffic)
{
  for (std::size_t i = 0; i < kLimited.size(); ++i) {
    aTraffic.CheckLimit(kLimited.at(i), std::stod(kLimits.at(i)));
  }
}

} // namespace

TEST_CASE("A server that names a limit gets no more than it allows")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  std::this_thread::sleep_for(kRun);
  traffic.Stop();
  CheckThree(traffic);
  CHECK(traffic.ServedShare() >= kMinServed);
}

TEST_CASE("A server that says it is leaving gets no further requests")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  for (const int server : kLimited) {
    traffic.Leave(server);
  }
  std::this_thread::sleep_for(kRun);
  traffic.Stop();
  for (const int server : kLimited) {
    CHECK(traffic.Log().AfterLeaving(Fleet::ServerName(server)) == 0);
  }
  CHECK(traffic.ServedShare() >= kMinServed);
}

TEST_CASE("A limit is kept while the server rejects most requests")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic, 90);
  std::this_thread::sleep_for(kRun);
  // Callers see few of these answers, so that few boxes are bound.
  for (std::size_t i = 0; i < kLimited.size(); ++i) {
    CHECK(traffic.Log().Arrivals(Fleet::ServerName(kLimited.at(i)),
                                 Now() - ThrottleLog::kWindow) <=
          ThrottleLog::Allowed(std::stod(kLimits.at(i))));
  }
  traffic.Stop();
  CheckThree(traffic);
  CHECK(traffic.ServedShare() >= kMinServed);
}

TEST_CASE("A limit is kept through restarts of the server's own box")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  std::this_thread::sleep_for(ThrottleLog::kContactTime);
  for (int turn = 0; turn < 6; ++turn) {
    const int box = fleet.BoxOfServer(kLimited.at(turn % kLimited.size()));
    fleet.SignalBox(box, SIGKILL);
    fleet.WaitForBoxExit(box, Millis(5000));
    traffic.Excuse(box);
    std::this_thread::sleep_for(Millis(500));
    fleet.StartBox(box);
    fleet.WaitInForce(box, Millis(10'000));
    std::this_thread::sleep_for(Millis(1500));
  }
  traffic.Stop();
  CheckThree(traffic);
}

TEST_CASE("A limit is kept when the server's own box wakes from a pause")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  std::this_thread::sleep_for(ThrottleLog::kContactTime);
  for (int turn = 0; turn < 3; ++turn) {
    for (const int server : kLimited) {
      fleet.SignalBox(fleet.BoxOfServer(server), SIGSTOP);
    }
    std::this_thread::sleep_for(Millis(2500));
    for (const int server : kLimited) {
      traffic.Excuse(fleet.BoxOfServer(server));
      fleet.SignalBox(fleet.BoxOfServer(server), SIGCONT);
    }
    std::this_thread::sleep_for(Millis(2500));
  }
  traffic.Stop();
  CheckThree(traffic);
}

TEST_CASE("Limits and leaving hold through changes of the configuration")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  constexpr int kLeaving = 9;
  traffic.Leave(kLeaving);
  for (int change = 0; change < 12; ++change) {
    for (const int server : { kLimited[0], kLimited[1], kLeaving }) {
      fleet.Platform().Put({ "BackendServer", Fleet::ServerName(server) },
                           R"({"service":"ledger","box":")" +
                             Fleet::BoxName(fleet.BoxOfServer(server)) +
                             R"(","address":")" + fleet.ServerAddress(server) +
                             R"(","slots":)" + std::to_string(4 + change % 2) +
                             "}");
    }
    fleet.Platform().Put({ "Service", "ledger" },
                         std::string(R"({"floor_slots":4,"detection":")") +
                           (change % 2 == 0 ? "careful" : "fast") +
                           R"(","default_deadline_ms":2000})");
    std::this_thread::sleep_for(Millis(1000));
  }
  traffic.Stop();
  CheckThree(traffic);
  CHECK(traffic.Log().AfterLeaving(Fleet::ServerName(kLeaving)) == 0);
  CHECK(traffic.ServedShare() >= kMinServed);
}

TEST_CASE("A limit is kept while links between boxes are silent")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  std::this_thread::sleep_for(ThrottleLog::kContactTime);
  fleet.SilenceBoxLinks();
  std::this_thread::sleep_for(Millis(6000));
  traffic.Stop();
  CheckThree(traffic);
}

TEST_CASE("A server gets its share again when it names no limit any more")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  LimitThree(traffic);
  std::this_thread::sleep_for(Millis(6000));
  for (const int server : kLimited) {
    traffic.Limit(server, "");
  }
  // Of 120 requests per second, each of twelve servers has ten.
  for (const int server : kLimited) {
    CHECK(WaitUntil(Millis(10'000), [&] {
      return traffic.Log().Arrivals(Fleet::ServerName(server),
                                    Now() - Millis(2000)) >= 10;
    }));
  }
  traffic.Stop();
  CHECK(traffic.ServedShare() >= kMinServed);
}

TEST_CASE("A service whose servers are all limited uses what they take")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  for (int server = 0; server < kServers; ++server) {
    traffic.Limit(server, "4");
  }
  std::this_thread::sleep_for(ThrottleLog::kContactTime);
  const auto from = Now();
  std::this_thread::sleep_for(Millis(8000));
  int arrivals = 0;
  for (int server = 0; server < kServers; ++server) {
    arrivals += traffic.Log().Arrivals(Fleet::ServerName(server), from);
  }
  traffic.Stop();
  for (int server = 0; server < kServers; ++server) {
    traffic.CheckLimit(server, 4.0);
  }
  MESSAGE("of 48 requests per second, used " << arrivals / 8);
  CHECK(arrivals >= 48 * 8 / 2);
}

TEST_CASE("A server that left and started again under its name is used")
{
  Fleet fleet(Options());
  LimitedTraffic traffic(fleet);
  constexpr int kServer = 0;
  traffic.Leave(kServer);
  std::this_thread::sleep_for(Millis(4000));
  fleet.RestartServer(kServer, Millis(1500));
  const auto restarted = Now();
  CHECK(WaitUntil(Millis(15'000),
                  [&] { return fleet.Server(kServer).Runs() >= 10; }));
  MESSAGE("used after "
          << std::chrono::duration_cast<Millis>(Now() - restarted).count()
          << " ms");
  traffic.Stop();
}
