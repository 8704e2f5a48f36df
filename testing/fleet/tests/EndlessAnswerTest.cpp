// Backend servers whose answers never end: memory, time and connections stay
// bounded, callers get true outcomes, and the other servers go on.
#include "ProcessStatus.h"
#include "fleet/MeshFleet.h"
#include "fleet/Ports.h"
#include "standin/EndlessServerStandIn.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <future>

using namespace porttiller;
using namespace porttiller::fleet;
using standin::EndlessAnswer;

namespace {

constexpr int kPortBase = 23'600;
constexpr int kSparePort = 700; // from the first port of a fleet
constexpr Millis kWait{ 15'000 };
constexpr int kBoxes = 4;
constexpr int kThreads = 12;
constexpr int kRequestsPerThread = 12;
// A daemon's share of what a box has for it, docs/CAPACITY.md.
constexpr std::size_t kMaxMemoryMb = 64;
// What a daemon may read of an answer whose head does not end: http_parser
// limits a head to 80 KB; several are read together.
constexpr std::uint64_t kMaxHeadBytes = 1U << 20;

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kFiller(4096, 'x');

const std::array kBodies = {
  EndlessAnswer{ .mBegin = kOk + "\r\n", .mRepeat = kFiller },
  EndlessAnswer{ .mBegin = kOk + "Transfer-Encoding: chunked\r\n\r\n",
                 .mRepeat = "1000\r\n" + kFiller + "\r\n" },
  EndlessAnswer{ .mBegin = kOk + "Content-Length: 16777216\r\n\r\n",
                 .mRepeat = kFiller,
                 .mStopAfter = 15U << 20 }
};

// What the socket buffers of both ends of a connection may hold: it counts as
// sent, although nobody has read it.
std::uint64_t
MostBufferedBytes()
{
  std::uint64_t sum = 0;
  for (const char* limit : { "tcp_rmem", "tcp_wmem" }) {
    std::ifstream file(std::string("/proc/sys/net/ipv4/") + limit);
    std::uint64_t least = 0;
    std::uint64_t usual = 0;
    std::uint64_t most = 0;
    file >> least >> usual >> most;
    sum += most;
  }
  return sum;
}

struct Endured
{
  std::uint64_t mMostBytes = 0; // on one connection
  std::size_t mPeakMb = 0;      // of one daemon
};

// Sends requests from the other boxes while the server of box 0 answers
// without end, and checks their outcomes.
Endured
PlayEndless(const EndlessAnswer& aAnswer)
{
  MeshFleet fleet(
    { .mBoxes = kBoxes, .mPortBase = kPortBase, .mWork = Millis(20) });
  const auto address = fleet.Server(0).Options().mAddress;
  fleet.Server(0).Stop();
  const standin::EndlessServerStandIn endless(address, aAnswer);
  std::vector<std::future<void>> callers;
  callers.reserve(kThreads);
  std::atomic<int> unaffected{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> unanswered{ 0 };
  std::atomic<int> falselyNotRun{ 0 };
  for (int thread = 0; thread < kThreads; ++thread) {
    callers.push_back(std::async(std::launch::async, [&, thread] {
      for (int i = 0; i < kRequestsPerThread; ++i) {
        const auto id = "e-" + std::to_string(thread) + "-" + std::to_string(i);
        const bool once = i % 2 == 0;
        const auto reply = fleet.Send(1 + thread % (kBoxes - 1),
                                      once ? "POST" : "GET",
                                      once ? "/once/x" : "/safe/x",
                                      id);
        const bool seen = endless.HasSeen(id);
        unanswered += reply.mStatus == 0 ? 1 : 0;
        unaffected += seen ? 0 : 1;
        served += !seen && reply.mStatus == 200 ? 1 : 0;
        falselyNotRun +=
          once && seen && (reply.mStatus == 503 || reply.mStatus == 429) ? 1
                                                                         : 0;
        CHECK(fleet.RunsOf(id) <= (once ? 1 : 3));
      }
    }));
  }
  for (auto& caller : callers) {
    caller.get();
  }
  CHECK(endless.Requests() > 0);
  CHECK(unanswered == 0);
  CHECK(falselyNotRun == 0);
  constexpr double kServedShare = 0.99;
  CHECK(served >= kServedShare * unaffected);
  CHECK(WaitUntil(kWait, [&] { return endless.OpenConnections() == 0; }));
  // The home probes the server after each request that lost its connection, of
  // which as many as the server has slots run at once.
  CHECK(endless.UnusedConnections() <= fleet.Server(0).Options().mSlots);
  Endured endured;
  for (int box = 0; box < kBoxes; ++box) {
    CAPTURE(box);
    CHECK(fleet.Ready(box));
    endured.mPeakMb = std::max(
      endured.mPeakMb, StatusMb("VmHWM", std::to_string(fleet.PidOf(box))));
  }
  endured.mMostBytes = endless.MostBytesSent();
  return endured;
}

} // namespace

TEST_CASE("A head without end is cut off and costs callers no other server")
{
  EndlessAnswer answer;
  SUBCASE("a status line")
  {
    answer = { .mBegin = "HTTP/1.1 200 ", .mRepeat = kFiller };
  }
  SUBCASE("a header field")
  {
    answer = { .mBegin = kOk + "X-Long: ", .mRepeat = kFiller };
  }
  SUBCASE("short header fields")
  {
    answer = { .mBegin = kOk, .mRepeat = "X-F: 1\r\n" };
  }
  SUBCASE("a chunk extension")
  {
    answer = { .mBegin = kOk + "Transfer-Encoding: chunked\r\n\r\n5;x=",
               .mRepeat = kFiller };
  }
  SUBCASE("interim answers")
  {
    answer = { .mRepeat = "HTTP/1.1 102 Processing\r\n\r\n" };
  }
  SUBCASE("answers to other requests")
  {
    answer = { .mRepeat = kOk + "Request-Id: other\r\n"
                                "Response-Signature: s\r\n"
                                "Content-Length: 2\r\n\r\nok" };
  }
  const auto endured = PlayEndless(answer);
  CHECK(endured.mMostBytes <= kMaxHeadBytes + MostBufferedBytes());
  CHECK(endured.mPeakMb <= kMaxMemoryMb);
}

// Also the one that promises 16 MiB, sends 15 and then nothing.
TEST_CASE("A body without end costs callers no other server")
{
  for (const auto& answer : kBodies) {
    CAPTURE(answer.mBegin);
    PlayEndless(answer);
  }
}

TEST_CASE("Bodies without end take no more memory than a daemon may use")
{
  for (const auto& answer : kBodies) {
    CAPTURE(answer.mBegin);
    CHECK(PlayEndless(answer).mPeakMb <= kMaxMemoryMb);
  }
}

TEST_CASE("Many answers without end at once leave a box within its memory")
{
  constexpr double kMemoryMb = 260.0;
  constexpr int kCallers = 64;
  for (const auto& answer : kBodies) {
    CAPTURE(answer.mBegin);
    MeshFleet fleet(
      { .mBoxes = kBoxes, .mPortBase = kPortBase, .mMemoryMb = kMemoryMb });
    std::vector<std::unique_ptr<standin::EndlessServerStandIn>> servers;
    for (int box = 0; box < kBoxes; ++box) {
      const auto address = fleet.Server(box).Options().mAddress;
      fleet.Server(box).Stop();
      servers.push_back(
        std::make_unique<standin::EndlessServerStandIn>(address, answer));
    }
    std::atomic<int> failed{ 0 };
    std::vector<std::future<void>> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.push_back(std::async(std::launch::async, [&, caller] {
        const auto reply =
          fleet.Send(0, "GET", "/safe/x", "n-" + std::to_string(caller));
        failed += reply.mStatus >= 500 ? 1 : 0;
      }));
    }
    for (auto& caller : callers) {
      caller.get();
    }
    CHECK(failed == kCallers);
    for (int box = 0; box < kBoxes; ++box) {
      CAPTURE(box);
      CHECK(fleet.Ready(box));
      CHECK(StatusMb("VmHWM", std::to_string(fleet.PidOf(box))) <= kMemoryMb);
      const auto& server = *servers.at(static_cast<std::size_t>(box));
      CHECK(WaitUntil(kWait, [&] { return server.OpenConnections() == 0; }));
    }
  }
}

// In the native dialect, where boxes eject servers.
TEST_CASE("Answers that stop before their end are closed with their requests")
{
  constexpr int kNativeBoxes = 6;
  constexpr int kServersPerBox = 2;
  constexpr int kCallers = 24;
  constexpr int kRequests = 60;
  Fleet fleet({ .mBoxes = kNativeBoxes,
                .mServersPerBox = kServersPerBox,
                .mPortBase = kPortBase });
  std::vector<std::unique_ptr<standin::EndlessServerStandIn>> servers;
  for (int i = 0; i < 3; ++i) {
    const int index = i * 2 * kServersPerBox;
    const auto address =
      "127.0.0.1:" + std::to_string(TestPort(kPortBase) + kSparePort + i);
    servers.push_back(
      std::make_unique<standin::EndlessServerStandIn>(address, kBodies.back()));
    fleet.Put("BackendServer",
              Fleet::ServerName(index),
              R"({"service":"ledger","box":")" +
                Fleet::BoxName(fleet.BoxOfServer(index)) + R"(","address":")" +
                address + R"(","slots":9})");
  }
  for (int box = 0; box < kNativeBoxes; ++box) {
    REQUIRE(fleet.WaitInForce(box, kWait));
  }
  std::atomic<int> unaffected{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::future<void>> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [&, caller] {
      for (int i = 0; i < kRequests; ++i) {
        const auto id = "s-" + std::to_string(caller * kRequests + i);
        const auto reply = fleet.Send(
          caller % kNativeBoxes, "GET", "/x", "", { { "X-Request-Id", id } });
        const bool seen =
          std::any_of(servers.begin(), servers.end(), [&](const auto& aServer) {
            return aServer->HasSeen(id);
          });
        unaffected += seen ? 0 : 1;
        served += !seen && reply.mStatus == 200 ? 1 : 0;
      }
    }));
  }
  for (auto& caller : callers) {
    caller.get();
  }
  std::size_t seen = 0;
  for (const auto& server : servers) {
    seen += server->Requests();
    CHECK(WaitUntil(kWait, [&] { return server->OpenConnections() == 0; }));
  }
  CHECK(seen > 0);
  constexpr double kServedShare = 0.99;
  CHECK(served >= kServedShare * unaffected);
}

TEST_CASE("A health check without end delays no start of a box")
{
  MeshFleet fleet(kBoxes, kPortBase);
  const auto address = fleet.Server(0).Options().mAddress;
  fleet.Server(0).Stop();
  EndlessAnswer answer;
  SUBCASE("in its head")
  {
    answer = { .mBegin = kOk + "X-Long: ", .mRepeat = kFiller };
  }
  SUBCASE("in interim answers")
  {
    answer = { .mRepeat = "HTTP/1.1 102 Processing\r\n\r\n" };
  }
  SUBCASE("in its body")
  {
    answer = { .mBegin =
                 kOk + "Instance-Id: " + fleet.Server(0).Id() + "\r\n\r\n",
               .mRepeat = kFiller };
  }
  const standin::EndlessServerStandIn endless(address, answer);
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.StartBox(0);
  CHECK(WaitUntil(kWait, [&] { return fleet.Ready(0); }));
  CHECK(WaitUntil(kWait, [&] { return endless.Requests() > 0; }));
  CHECK(fleet.WaitServers(kBoxes - 1));
  CHECK(endless.MostBytesSent() <= kMaxHeadBytes + MostBufferedBytes());
  // Its heartbeats confirm it.
  REQUIRE(fleet.Server(0).SendHeartbeat());
  CHECK(fleet.WaitServers(kBoxes));
}
