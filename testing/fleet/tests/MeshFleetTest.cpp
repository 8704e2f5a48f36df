// The whole path of a request in the mesh dialect: servers that register with
// heartbeats, one configuration document, and the guarantees when parts fail.
#include "fleet/MeshFleet.h"

#include <Poco/Net/StreamSocket.h>
#include <csignal>
#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 25000;
constexpr Millis kWait{ 15'000 };

} // namespace

TEST_CASE("A request runs once under its box's service name, its complete, "
          "signed answer reaches the caller, and one without a route gets 404")
{
  MeshFleet fleet(3, kPortBase);
  for (int i = 0; i < 12; ++i) {
    const auto id = "r-" + std::to_string(i);
    const auto reply = fleet.Send(i % 3, "POST", "/once/x?y=1", id, "body");
    CAPTURE(reply.mBody);
    CHECK(reply.mStatus == 200);
    CHECK(reply.mBody.find("|" + id + "|body") != std::string::npos);
    CHECK(HeaderValue(reply.mHeaders, "Response-Signature") == "s." + id);
    CHECK(fleet.RunsOf(id) == 1);
  }
  for (int box = 0; box < 3; ++box) {
    CHECK(fleet.Ready(box));
    if (fleet.Server(box).Runs() > 0) {
      CHECK(fleet.Server(box).LastCallerService() == "ledger");
    }
  }
  CHECK(fleet.Send(0, "GET", "/none/", "n").mStatus == 404);
}

TEST_CASE("A draining server gets no request after the acknowledgement, even "
          "if its box is killed and restarts")
{
  MeshFleet fleet(3, kPortBase);
  REQUIRE(fleet.Server(0).SendHeartbeat("draining"));
  CHECK(fleet.Store().SpecOf({ "box-records", "box-0" }).find("draining") !=
        std::string::npos);
  const auto check = [&](const std::string& aPrefix) {
    const int before = fleet.Server(0).Runs();
    for (int i = 0; i < 30; ++i) {
      const auto id = aPrefix + std::to_string(i);
      CHECK(fleet.Send(1 + i % 2, "POST", "/once/x", id).mStatus == 200);
    }
    CHECK(fleet.Server(0).Runs() == before);
  };
  check("a-");
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.StartBox(0);
  // A late heartbeat from before the drain must not bring the server back into
  // use in the box's next incarnation.
  REQUIRE(
    WaitUntil(kWait, [&] { return fleet.Server(0).SendLateHeartbeat(); }));
  REQUIRE(fleet.WaitServers(2));
  check("b-");
}

TEST_CASE("Peers learn that a server drains while the store is unavailable, "
          "and its record is stored after that")
{
  MeshFleet fleet(3, kPortBase);
  fleet.Store().SetDown(true);
  REQUIRE(fleet.Server(0).SendHeartbeat("draining"));
  CHECK(fleet.WaitServers(2));
  fleet.Store().SetDown(false);
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Store().SpecOf({ "box-records", "box-0" }).find("draining") !=
           std::string::npos;
  }));
}

TEST_CASE("A box that starts while the store is unavailable uses its server "
          "and becomes ready")
{
  // Guards against a box that serves nothing and does not acknowledge its
  // server's heartbeats until the store is available again.
  MeshFleet fleet(3, kPortBase);
  fleet.Store().SetDown(true);
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(2).SendHeartbeat(); }));
  CHECK(fleet.WaitServers(3));
  CHECK(WaitUntil(kWait, [&] { return fleet.Ready(2); }));
  CHECK(fleet.Send(2, "POST", "/once/x", "away").mStatus == 200);
}

TEST_CASE("A server that leaves is acknowledged and no longer used although "
          "the store's answer is lost")
{
  MeshFleet fleet(2, kPortBase);
  fleet.Store().LoseWriteAnswers(1);
  CHECK(fleet.Server(1).Leave());
  CHECK(fleet.WaitServers(1));
}

TEST_CASE("A change takes effect on every box despite a compacted history, and "
          "on a box that restarts without the store")
{
  MeshFleet fleet(3, kPortBase);
  fleet.Store().CompactHistory();
  fleet.Configure("/extra/");
  for (int box = 0; box < 3; ++box) {
    CHECK(WaitUntil(kWait, [&] {
      return fleet.Send(box, "GET", "/extra/x", "e").mStatus == 200;
    }));
  }
  fleet.Store().SetDown(true);
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  // It learns the configuration from its seed and never answers 404, as it
  // would with an older one.
  CHECK(WaitUntil(kWait, [&] {
    const auto status = fleet.Send(2, "GET", "/extra/x", "e2").mStatus;
    CHECK(status != 404);
    return status == 200;
  }));
}

TEST_CASE("All boxes serve again from the store after being killed at once")
{
  MeshFleet fleet(3, kPortBase);
  for (int box = 0; box < 3; ++box) {
    fleet.SignalBox(box, SIGKILL);
  }
  for (int box = 0; box < 3; ++box) {
    fleet.WaitForBoxExit(box, kWait);
    fleet.StartBox(box);
  }
  REQUIRE(fleet.WaitServers(3));
  for (int i = 0; i < 9; ++i) {
    CHECK(
      fleet.Send(i % 3, "POST", "/once/x", "k-" + std::to_string(i)).mStatus ==
      200);
  }
}

TEST_CASE("A caller that disconnects cancels the work at the server")
{
  MeshFleet fleet(2, kPortBase);
  for (int box = 0; box < 2; ++box) {
    fleet.Server(box).Set({ .mWork = Millis(20'000) });
  }
  {
    Poco::Net::StreamSocket socket(
      Poco::Net::SocketAddress(fleet.CallerAddress(0)));
    const std::string request = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n"
                                "Request-Id: h\r\nDeadline-Ms: 20000\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    REQUIRE(WaitUntil(kWait, [&] { return fleet.RunsOf("h") > 0; }));
    socket.close();
  }
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Server(0).Cancelled() + fleet.Server(1).Cancelled() > 0;
  }));
}

TEST_CASE("An answer that is unsigned or for another request is not delivered, "
          "and its request runs once")
{
  MeshFleet fleet(2, kPortBase);
  for (int box = 0; box < 2; ++box) {
    fleet.Server(box).Set({ .mUnsigned = true });
  }
  const auto unsignedReply = fleet.Send(0, "POST", "/once/x", "u");
  CHECK(unsignedReply.mStatus == 504);
  CHECK(fleet.RunsOf("u") == 1);
  for (int box = 0; box < 2; ++box) {
    fleet.Server(box).Set({ .mForeignId = true });
  }
  const auto foreign = fleet.Send(0, "POST", "/once/x", "f", "", Millis(1000));
  CHECK(foreign.mStatus == 504);
  CHECK(fleet.RunsOf("f") == 1);
}

TEST_CASE("A request that a full server rejects runs elsewhere or is reported "
          "as not run")
{
  MeshFleet fleet(2, kPortBase);
  fleet.Server(0).Set({ .mFull = true });
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Send(0, "POST", "/once/x", "f" + std::to_string(i)).mStatus ==
          200);
  }
  fleet.Server(1).Set({ .mFull = true });
  const auto rejected = fleet.Send(0, "POST", "/once/x", "none");
  CHECK(rejected.mStatus == 503);
  CHECK_FALSE(HeaderValue(rejected.mHeaders, "Retry-After").empty());
  CHECK(fleet.RunsOf("none") == 0);
}

TEST_CASE("A stopping box is not ready, and others use its server during its "
          "drain notice but not after its exit")
{
  // Guards against a drain notice during which a running server gets no
  // requests: only callers need the notice. It matters when boxes are stopped
  // in turn.
  MeshFleet fleet(2, kPortBase);
  fleet.Server(0).Set({ .mFull = true });
  fleet.SignalBox(1, SIGTERM);
  REQUIRE(WaitUntil(kWait, [&] {
    return fleet.LogOf(1).find("\"draining\"") != std::string::npos;
  }));
  CHECK_FALSE(fleet.Ready(1));
  CHECK(fleet.Send(0, "POST", "/once/x", "notice").mStatus == 200);
  CHECK(fleet.WaitForBoxExit(1, kWait) == 0);
  CHECK(fleet.Send(0, "POST", "/once/x", "gone").mStatus == 503);
  CHECK(fleet.RunsOf("gone") == 0);
}

TEST_CASE("SIGHUP reloads the settings and the box keeps serving")
{
  MeshFleet fleet(2, kPortBase);
  fleet.SignalBox(0, SIGHUP);
  CHECK(WaitUntil(kWait, [&] {
    return fleet.LogOf(0).find("settings_reloaded") != std::string::npos;
  }));
  CHECK(fleet.Send(0, "POST", "/once/x", "after").mStatus == 200);
}

TEST_CASE("A repeatable request at a hung server is answered by another server")
{
  MeshFleet fleet(3, kPortBase);
  for (int i = 0; i < 12; ++i) { // establishes the latency P90
    const auto id = "before-" + std::to_string(i);
    REQUIRE(fleet.Send(0, "GET", "/safe/x", id).mStatus == 200);
  }
  constexpr Millis kHangs{ 60'000 };
  constexpr int kRequests = 9;
  fleet.Server(1).Set({ .mWork = kHangs });
  fleet.Server(2).Set({ .mWork = kHangs });
  for (int i = 0; i < kRequests; ++i) {
    const auto id = "safe-" + std::to_string(i);
    CHECK(fleet.Send(0, "GET", "/safe/x", id).mStatus == 200);
  }
  // The hung servers did receive some of the requests.
  const auto hung = [&] {
    return fleet.Server(1).Runs() + fleet.Server(2).Runs();
  };
  CHECK(hung() > 0);
}

TEST_CASE("A request without an alternative server is not abandoned early")
{
  MeshFleet fleet(1, kPortBase);
  for (int i = 0; i < 12; ++i) {
    const auto id = "before-" + std::to_string(i);
    REQUIRE(fleet.Send(0, "GET", "/safe/x", id).mStatus == 200);
  }
  fleet.Server(0).Set({ .mWork = Millis(2500) });
  CHECK(fleet.Send(0, "GET", "/safe/x", "slow").mStatus == 200);
  CHECK(fleet.Server(0).Cancelled() == 0);
}

TEST_CASE("A server that restarts under its id is used by all boxes, and no "
          "request runs twice")
{
  MeshFleet fleet({ .mBoxes = 3, .mPortBase = kPortBase, .mStartTimes = true });
  const auto runsAtServer = [&](const std::string& aPrefix) {
    return WaitUntil(kWait, [&, count = 0]() mutable {
      const int before = fleet.Server(0).Runs();
      for (int i = 0; i < 12; ++i) {
        const auto id = aPrefix + std::to_string(count++);
        const auto reply = fleet.Send(1 + i % 2, "POST", "/once/x", id);
        CHECK(fleet.RunsOf(id) <= 1);
        CHECK((reply.mStatus != 200 || fleet.RunsOf(id) == 1));
      }
      return fleet.Server(0).Runs() > before;
    });
  };
  SUBCASE("while ready") {}
  SUBCASE("while draining")
  {
    REQUIRE(fleet.Server(0).SendHeartbeat("draining"));
    REQUIRE(fleet.WaitServers(2));
  }
  SUBCASE("after it left")
  {
    REQUIRE(fleet.Server(0).Leave());
    REQUIRE(fleet.WaitServers(2));
  }
  SUBCASE("while the store is unavailable")
  {
    REQUIRE(fleet.Server(0).SendHeartbeat("draining"));
    REQUIRE(fleet.WaitServers(2));
    fleet.Store().SetDown(true);
  }
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).SendHeartbeat());
  CHECK(fleet.WaitServers(3));
  CHECK(runsAtServer("first-"));
  // Two restarts in a row.
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).SendHeartbeat());
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).SendHeartbeat());
  CHECK(runsAtServer("second-"));
  // The box restarts and learns the newest start, not an older one.
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.Store().SetDown(false);
  fleet.StartBox(0);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(0).SendHeartbeat(); }));
  CHECK(fleet.WaitServers(3));
  CHECK(runsAtServer("third-"));
}

TEST_CASE("A message of an earlier incarnation or without a start time does "
          "not affect the current one")
{
  MeshFleet fleet({ .mBoxes = 2, .mPortBase = kPortBase, .mStartTimes = true });
  const auto leaveOfFirst =
    R"({"born":)" + std::to_string(*fleet.Server(0).Options().mStartMs) + "}";
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).SendHeartbeat());
  CHECK(fleet.Server(0).SendOneWay("instances.leave", leaveOfFirst));
  // A message without a start time is not from this server, and is not
  // acknowledged.
  CHECK_FALSE(fleet.Server(0).SendOneWay(
    "instances.heartbeat",
    R"({"Service":"ledger","Address":"127.0.0.1:9","Slots":4,)"
    R"("State":"draining","CallSeq":90})"));
  REQUIRE(fleet.Server(0).SendHeartbeat());
  CHECK(fleet.WaitServers(2));
}

TEST_CASE("Foreign objects in the store stay and hide no box and no server, "
          "and an invalid document changes nothing")
{
  MeshFleet fleet({ .mBoxes = 3, .mPortBase = kPortBase, .mStartTimes = true });
  auto& store = fleet.Store();
  const std::string recordOfBox1 = store.SpecOf({ "box-records", "box-1" });
  // Names that sort before, between and after those of the boxes.
  for (const char* name : { "a", "box-0~x", "box-1.5", "zz" }) {
    store.Put({ "box-records", name }, "7");
  }
  store.Put({ "box-records", "copy" }, recordOfBox1);
  store.Put({ "config", "a" }, R"("no document")");
  store.Put({ "config", "main" }, R"({"Routes":7})");
  // A foreign object under the name of a box.
  store.Put({ "box-records", "box-2" }, R"({"state":"resting"})");
  for (int box = 0; box < 3; ++box) {
    fleet.SignalBox(box, SIGKILL);
    fleet.WaitForBoxExit(box, kWait);
  }
  // The boxes must start from these records; only the configuration is valid
  // again.
  fleet.Configure("/extra/");
  for (int box = 0; box < 3; ++box) {
    fleet.StartBox(box);
  }
  for (int box = 0; box < 3; ++box) {
    CHECK(WaitUntil(kWait, [&] { return fleet.Server(box).SendHeartbeat(); }));
  }
  CHECK(fleet.WaitServers(3));
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(1, "GET", "/extra/x", "e").mStatus == 200;
  }));
  // The foreign object is not overwritten, and an invalid document changes
  // nothing.
  CHECK(store.SpecOf({ "box-records", "box-2" }) == R"({"state":"resting"})");
  CHECK(store.SpecOf({ "box-records", "box-2~1" }).find("i-2") !=
        std::string::npos);
  store.Put({ "config", "main" }, R"({"Routes":7})");
  REQUIRE(fleet.Server(2).SendHeartbeat("draining"));
  CHECK(fleet.WaitServers(2));
  CHECK(fleet.Send(1, "GET", "/extra/x", "f").mStatus == 200);
  // The restarted box finds its record under the alternative name.
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(2).SendHeartbeat(); }));
  CHECK(fleet.WaitServers(2));
  fleet.Configure("/later/");
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(0, "GET", "/later/x", "g").mStatus == 200;
  }));
  CHECK(fleet.LogOf(2).find("object_unreadable") != std::string::npos);
}

TEST_CASE("Malformed and foreign heartbeats are not acknowledged and change no "
          "server in use")
{
  MeshFleet fleet({ .mBoxes = 2, .mPortBase = kPortBase, .mStartTimes = true });
  for (const char* body : { "",
                            "not json",
                            "{}",
                            R"({"Service":7})",
                            R"({"Service":"ledger","Address":"127.0.0.1:0",)"
                            R"("Slots":4,"State":"ready","CallSeq":90})",
                            R"({"Service":"ledger","Address":"127.0.0.1:9",)"
                            R"("Slots":4,"State":"resting","CallSeq":90})" }) {
    CAPTURE(body);
    CHECK_FALSE(fleet.Server(0).SendOneWay("instances.heartbeat", body));
  }
  CHECK(fleet.WaitServers(2));
  CHECK(fleet.Send(1, "POST", "/once/x", "h").mStatus == 200);
}
