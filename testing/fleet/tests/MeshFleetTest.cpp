// The whole path as on the users' machines: servers that tell about
// themselves, one document, and what must hold when parts of it fail.
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

TEST_CASE("A request runs at the server it was meant for and comes back whole")
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

TEST_CASE(
  "After its ack a draining server gets nothing, also after its box died")
{
  MeshFleet fleet(3, kPortBase);
  REQUIRE(fleet.Server(0).Beat("draining"));
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
  // A late heartbeat from before must not revive it in the next life.
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(0).BeatLate(); }));
  REQUIRE(fleet.WaitServers(2));
  check("b-");
}

TEST_CASE("While the store is away a draining server is kept by peers")
{
  MeshFleet fleet(3, kPortBase);
  fleet.Store().SetDown(true);
  REQUIRE(fleet.Server(0).Beat("draining"));
  CHECK(fleet.WaitServers(2));
  fleet.Store().SetDown(false);
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Store().SpecOf({ "box-records", "box-0" }).find("draining") !=
           std::string::npos;
  }));
}

TEST_CASE("A box that starts while the store is away takes its server in")
{
  // Found on the users' days: until the store was back such a box served
  // nothing, and its server's heartbeats got no acknowledgement.
  MeshFleet fleet(3, kPortBase);
  fleet.Store().SetDown(true);
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(2).Beat(); }));
  CHECK(fleet.WaitServers(3));
  CHECK(WaitUntil(kWait, [&] { return fleet.Ready(2); }));
  CHECK(fleet.Send(2, "POST", "/once/x", "away").mStatus == 200);
}

TEST_CASE("A lost answer of the store does not keep a record from being kept")
{
  MeshFleet fleet(2, kPortBase);
  fleet.Store().LoseWriteAnswers(1);
  CHECK(fleet.Server(1).Leave());
  CHECK(fleet.WaitServers(1));
}

TEST_CASE(
  "A change is in force on every box, and stays while the store is away")
{
  MeshFleet fleet(3, kPortBase);
  fleet.Store().ForgetHistory();
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
  // It learns from its seed: neither a 404 nor an older configuration.
  CHECK(WaitUntil(kWait, [&] {
    const auto status = fleet.Send(2, "GET", "/extra/x", "e2").mStatus;
    CHECK(status != 404);
    return status == 200;
  }));
}

TEST_CASE("All boxes killed at once serve again from what the store kept")
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

TEST_CASE("A caller that hangs up ends the work at the server")
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

TEST_CASE(
  "What a server did not sign, or made for another request, is no answer")
{
  MeshFleet fleet(2, kPortBase);
  for (int box = 0; box < 2; ++box) {
    fleet.Server(box).Set({ .mUnsigned = true });
  }
  const auto spoiled = fleet.Send(0, "POST", "/once/x", "u");
  CHECK(spoiled.mStatus == 504);
  CHECK(fleet.RunsOf("u") == 1);
  for (int box = 0; box < 2; ++box) {
    fleet.Server(box).Set({ .mForeignId = true });
  }
  const auto foreign = fleet.Send(0, "POST", "/once/x", "f", "", Millis(1000));
  CHECK(foreign.mStatus == 504);
  CHECK(fleet.RunsOf("f") == 1);
}

TEST_CASE("A server that is full sends a request elsewhere, or back as not run")
{
  MeshFleet fleet(2, kPortBase);
  fleet.Server(0).Set({ .mFull = true });
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.Send(0, "POST", "/once/x", "f" + std::to_string(i)).mStatus ==
          200);
  }
  fleet.Server(1).Set({ .mFull = true });
  const auto refused = fleet.Send(0, "POST", "/once/x", "none");
  CHECK(refused.mStatus == 503);
  CHECK_FALSE(HeaderValue(refused.mHeaders, "Retry-After").empty());
  CHECK(fleet.RunsOf("none") == 0);
}

TEST_CASE("A box that is stopped lets others use its server for a while longer")
{
  // Found on the grown fleets (FLOOR): with boxes stopped in turn, servers that
  // ran on got nothing for the whole notice that only callers need.
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

TEST_CASE("SIGHUP reloads, and a broken settings file changes nothing")
{
  MeshFleet fleet(2, kPortBase);
  fleet.SignalBox(0, SIGHUP);
  CHECK(WaitUntil(kWait, [&] {
    return fleet.LogOf(0).find("settings_reloaded") != std::string::npos;
  }));
  CHECK(fleet.Send(0, "POST", "/once/x", "after").mStatus == 200);
}

TEST_CASE("A repeatable request at a server that hangs is answered by another")
{
  MeshFleet fleet(3, kPortBase);
  for (int i = 0; i < 12; ++i) { // how long requests take is known
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
  // Nobody waits there any more, so nothing runs on.
  const auto hung = [&] {
    return fleet.Server(1).Runs() + fleet.Server(2).Runs();
  };
  CHECK(hung() > 0);
}

TEST_CASE("A request with no other server is not given up before its time")
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

TEST_CASE("A server that starts again under its id is used by all boxes")
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
    REQUIRE(fleet.Server(0).Beat("draining"));
    REQUIRE(fleet.WaitServers(2));
  }
  SUBCASE("after it left")
  {
    REQUIRE(fleet.Server(0).Leave());
    REQUIRE(fleet.WaitServers(2));
  }
  SUBCASE("while the store is away")
  {
    REQUIRE(fleet.Server(0).Beat("draining"));
    REQUIRE(fleet.WaitServers(2));
    fleet.Store().SetDown(true);
  }
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).Beat());
  CHECK(fleet.WaitServers(3));
  CHECK(runsAtServer("first-"));
  // Starts in a row.
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).Beat());
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).Beat());
  CHECK(runsAtServer("second-"));
  // The box restarts and learns the newest start, not an older one.
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.Store().SetDown(false);
  fleet.StartBox(0);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(0).Beat(); }));
  CHECK(fleet.WaitServers(3));
  CHECK(runsAtServer("third-"));
}

TEST_CASE("A late message of an earlier start does not close the later one")
{
  MeshFleet fleet({ .mBoxes = 2, .mPortBase = kPortBase, .mStartTimes = true });
  const auto leaveOfFirst =
    R"({"born":)" + std::to_string(*fleet.Server(0).Options().mStartMs) + "}";
  fleet.RestartServer(0);
  REQUIRE(fleet.Server(0).Beat());
  CHECK(fleet.Server(0).Tell("instances.leave", leaveOfFirst));
  // Without a start time: not of this server, and not acknowledged.
  CHECK_FALSE(fleet.Server(0).Tell(
    "instances.heartbeat",
    R"({"Service":"ledger","Address":"127.0.0.1:9","Slots":4,)"
    R"("State":"draining","CallSeq":90})"));
  REQUIRE(fleet.Server(0).Beat());
  CHECK(fleet.WaitServers(2));
}

TEST_CASE("Objects of another writer in the store hide no box and no server")
{
  MeshFleet fleet({ .mBoxes = 3, .mPortBase = kPortBase, .mStartTimes = true });
  auto& store = fleet.Store();
  const std::string recordOfBox1 = store.SpecOf({ "box-records", "box-1" });
  // Before, between and behind the boxes' own names.
  for (const char* name : { "a", "box-0~x", "box-1.5", "zz" }) {
    store.Put({ "box-records", name }, "7");
  }
  store.Put({ "box-records", "copy" }, recordOfBox1);
  store.Put({ "config", "a" }, R"("no document")");
  store.Put({ "config", "main" }, R"({"Routes":7})");
  // A box's own name holds an object of another writer.
  store.Put({ "box-records", "box-2" }, R"({"state":"resting"})");
  for (int box = 0; box < 3; ++box) {
    fleet.SignalBox(box, SIGKILL);
    fleet.WaitForBoxExit(box, kWait);
  }
  // All start from what the store holds, but for the configuration.
  fleet.Configure("/extra/");
  for (int box = 0; box < 3; ++box) {
    fleet.StartBox(box);
  }
  for (int box = 0; box < 3; ++box) {
    CHECK(WaitUntil(kWait, [&] { return fleet.Server(box).Beat(); }));
  }
  CHECK(fleet.WaitServers(3));
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(1, "GET", "/extra/x", "e").mStatus == 200;
  }));
  // What the other writer wrote still stands, and a broken document changes
  // nothing.
  CHECK(store.SpecOf({ "box-records", "box-2" }) == R"({"state":"resting"})");
  CHECK(store.SpecOf({ "box-records", "box-2~1" }).find("i-2") !=
        std::string::npos);
  store.Put({ "config", "main" }, R"({"Routes":7})");
  REQUIRE(fleet.Server(2).Beat("draining"));
  CHECK(fleet.WaitServers(2));
  CHECK(fleet.Send(1, "GET", "/extra/x", "f").mStatus == 200);
  // The box finds its record under the spare name again.
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  REQUIRE(WaitUntil(kWait, [&] { return fleet.Server(2).Beat(); }));
  CHECK(fleet.WaitServers(2));
  fleet.Configure("/later/");
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(0, "GET", "/later/x", "g").mStatus == 200;
  }));
  CHECK(fleet.LogOf(2).find("object_unreadable") != std::string::npos);
}

TEST_CASE("Heartbeats of another writer change no server in use")
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
    CHECK_FALSE(fleet.Server(0).Tell("instances.heartbeat", body));
  }
  CHECK(fleet.WaitServers(2));
  CHECK(fleet.Send(1, "POST", "/once/x", "h").mStatus == 200);
}
