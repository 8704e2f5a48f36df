// Faults of the entry role and of both roles together: graceful shutdowns,
// kills, and retries by a caller after an unknown outcome.
#include "fleet/Traffic.h"
#include "porttiller/hop/HopHeaders.h"
#include "standin/LinkStandIn.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 22100;

FleetOptions
Options(const std::string& aTiming = "")
{
  return { .mBoxes = 3,
           .mFirstServerBox = 1,
           .mSlots = 6,
           .mFloorSlots = 6,
           .mPortBase = kPortBase,
           .mExtraSettings =
             ", \"timing\": {\"probe_interval_ms\": 200" + aTiming + "}" };
}

} // namespace

TEST_CASE("A graceful shutdown of the entry aborts no request in flight")
{
  Fleet fleet(Options());
  fleet.Server(0).Set({ .mServiceMs = 200 });
  fleet.Server(1).Set({ .mServiceMs = 200 });
  const TrafficOptions options{ .mRequests = 10,
                                .mThreads = 10,
                                .mDeadline = Millis(5000) };
  std::vector<RequestRecord> records;
  std::thread traffic([&] { records = SendTraffic(fleet, options); });
  REQUIRE(WaitUntil(Millis(5000), [&] {
    return fleet.Server(0).Runs() + fleet.Server(1).Runs() >= 5;
  }));
  fleet.SignalBox(0, SIGTERM);
  traffic.join();
  const auto summary = CheckTraffic(fleet, records, options);
  MESSAGE(ToText(summary));
  CHECK(summary.mRun == options.mRequests);
  CHECK(summary.mViolations.empty());
  CHECK(fleet.WaitForBoxExit(0, Millis(10'000)) == 0);
}

TEST_CASE("A graceful shutdown of a home aborts no request in flight")
{
  Fleet fleet(Options());
  fleet.Server(0).Set({ .mServiceMs = 100 });
  fleet.Server(1).Set({ .mServiceMs = 100 });
  const TrafficOptions options{ .mRequests = 60,
                                .mThreads = 8,
                                .mDeadline = Millis(5000) };
  std::vector<RequestRecord> records;
  std::thread traffic([&] { records = SendTraffic(fleet, options); });
  REQUIRE(WaitUntil(Millis(5000), [&] { return fleet.Server(0).Runs() >= 3; }));
  fleet.SignalBox(1, SIGTERM);
  traffic.join();
  const auto summary = CheckTraffic(fleet, records, options);
  MESSAGE(ToText(summary));
  CHECK(summary.mRun == options.mRequests);
  CHECK(summary.mViolations.empty());
  CHECK(fleet.WaitForBoxExit(1, Millis(10'000)) == 0);
}

TEST_CASE("A request that outlasts a graceful shutdown is reported as unknown")
{
  Fleet fleet(Options(", \"drain_ms\": 600"));
  fleet.Server(0).Set({ .mServiceMs = 4000 });
  fleet.Server(1).Set({ .mServiceMs = 4000 });
  const TrafficOptions options{ .mRequests = 2,
                                .mThreads = 2,
                                .mDeadline = Millis(8000) };
  std::vector<RequestRecord> records;
  std::thread traffic([&] { records = SendTraffic(fleet, options); });
  REQUIRE(WaitUntil(Millis(5000), [&] {
    return fleet.Server(0).Runs() + fleet.Server(1).Runs() >= 2;
  }));
  fleet.SignalBox(0, SIGTERM);
  traffic.join();
  const auto summary = CheckTraffic(fleet, records, options);
  MESSAGE(ToText(summary));
  CHECK(summary.mUnknown == 2);
  CHECK(summary.mViolations.empty());
}

TEST_CASE(
  "No request runs twice or gets a false outcome when an entry is killed")
{
  Fleet fleet(Options());
  fleet.Server(0).Set({ .mServiceMs = 50 });
  fleet.Server(1).Set({ .mServiceMs = 50 });
  TrafficOptions options{ .mRequests = 60, .mEntries = { 0, 1, 2 } };
  std::vector<RequestRecord> records;
  std::thread traffic([&] { records = SendTraffic(fleet, options); });
  REQUIRE(WaitUntil(Millis(5000), [&] { return fleet.Server(0).Runs() >= 3; }));
  fleet.SignalBox(0, SIGKILL);
  traffic.join();
  const auto summary = CheckTraffic(fleet, records, options);
  MESSAGE(ToText(summary));
  CHECK(summary.mViolations.empty());
}

TEST_CASE("A retry after an unknown outcome returns the result of the only "
          "run, and only to its caller")
{
  Fleet fleet(Options(", \"attempt_patience_ms\": 100"));
  standin::LinkStandIn homeLink(fleet.HomeAddress(1));
  fleet.PutBox(1, homeLink.Address(), fleet.ControlAddress(1));
  fleet.PutBox(2, fleet.HomeAddress(2), fleet.ControlAddress(2), "leaving");
  REQUIRE(fleet.WaitInForce(0, Millis(10'000)));
  REQUIRE(fleet.WaitUntilUsed(0, 0, Millis(10'000)));
  fleet.Server(0).Set({ .mServiceMs = 700 });
  const HttpHeaders key = { { "X-Request-Id", "purchase" },
                            { hop::kRequestKey, "k1" },
                            { hop::kDeadlineMs, "400" } };
  const auto first = fleet.Send(0, "POST", "/purchases", "100 units", key);
  CHECK(first.mOutcome == "unknown");
  const auto token = HeaderValue(first.mHeaders, hop::kToken);
  REQUIRE_FALSE(token.empty());

  auto again = key;
  again.push_back({ hop::kToken, token });
  Reply reply;
  REQUIRE(WaitUntil(Millis(5000), [&] {
    reply = fleet.Send(0, "POST", "/purchases", "100 units", again);
    return reply.mOutcome != "unknown" ||
           HeaderValue(reply.mHeaders, hop::kReason) != "still-running";
  }));
  CHECK(reply.mOutcome == "run");
  CHECK(reply.mBody ==
        standin::EchoOf(Fleet::ServerName(0), "purchase", "100 units"));
  CHECK(fleet.RunsOf("purchase") == 1);
  // A different request key means a different caller, which must not see the
  // answer.
  auto stranger = again;
  stranger[1].mValue = "k2";
  const auto other = fleet.Send(0, "POST", "/purchases", "100 units", stranger);
  CHECK(other.mOutcome == "unknown");
  CHECK(other.mBody.find("100 units") == std::string::npos);
  CHECK(fleet.RunsOf("purchase") == 1);
}

TEST_CASE("An entry learns the load that homes report")
{
  // Guards against entries that ignore the load reports of homes.
  Fleet fleet(Options());
  fleet.Server(0).Set({ .mServiceMs = 50 });
  fleet.Server(1).Set({ .mServiceMs = 50 });
  const TrafficOptions options{ .mRequests = 200,
                                .mThreads = 8,
                                .mDeadline = Millis(5000) };
  std::atomic<bool> done{ false };
  std::thread traffic([&] {
    SendTraffic(fleet, options);
    done = true;
  });
  bool learned = false;
  while (!done && !learned) {
    const auto state = fleet.State(0);
    for (int part = 1; part <= 6; ++part) { // load in sixths, for 6 slots
      const auto load = std::to_string(part / 6.0).substr(0, 4);
      learned = learned || state.find("load=" + load) != std::string::npos;
    }
  }
  traffic.join();
  CHECK(learned);
}
