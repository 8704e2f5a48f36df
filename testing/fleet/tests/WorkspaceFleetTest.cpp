// API keys and limits of workspaces in fleets of real processes.
#include "fleet/MeshFleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 25000;
constexpr Millis kWait{ 15'000 };
const std::string kKey = "key-of-a-that-must-not-show";
const std::string kOtherKey = "key-of-b-that-must-not-show";

const std::string kBothWorkspaces = R"({"a":{"ApiKeys":[")" + kKey +
                                    R"("]},"b":{"ApiKeys":[")" + kOtherKey +
                                    R"("]}})";

int
StatusWith(MeshFleet& aFleet,
           int aBox,
           const std::string& aKey,
           const std::string& aId)
{
  return aFleet.Send({ .mBox = aBox, .mId = aId, .mKey = aKey }).mStatus;
}

// Sends requests to a box until it answers with this status.
bool
WaitForStatus(MeshFleet& aFleet, int aBox, const std::string& aKey, int aStatus)
{
  int tries = 0;
  return WaitUntil(kWait, [&] {
    const auto id = "s-" + std::to_string(aBox) + "-" +
                    std::to_string(aStatus) + "-" + std::to_string(++tries);
    return StatusWith(aFleet, aBox, aKey, id) == aStatus;
  });
}

} // namespace

TEST_CASE("An API key identifies its workspace to the server and appears in no "
          "header, log, state or metric, and an unknown key is rejected")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(kBothWorkspaces);
  for (int box = 0; box < 3; ++box) {
    REQUIRE(WaitForStatus(fleet, box, "", 401));
    for (int i = 0; i < 4; ++i) {
      const auto id = "k-" + std::to_string(box) + "-" + std::to_string(i);
      CHECK(StatusWith(fleet, box, i % 2 == 0 ? kKey : kOtherKey, id) == 200);
      CHECK(fleet.RunsOf(id) == 1);
      CHECK(fleet.WorkspaceOf(id) == (i % 2 == 0 ? "a" : "b"));
    }
    CHECK(StatusWith(fleet, box, "unknown", "u-" + std::to_string(box)) == 401);
    CHECK(fleet.RunsOf("u-" + std::to_string(box)) == 0);
  }
  CHECK(fleet.HeadersSeenByServers().find("must-not-show") ==
        std::string::npos);
  for (int box = 0; box < 3; ++box) {
    CHECK(fleet.LogOf(box).find("must-not-show") == std::string::npos);
    CHECK(fleet.State(box).find("must-not-show") == std::string::npos);
    CHECK(fleet.MetricsOf(box).find("must-not-show") == std::string::npos);
  }
}

TEST_CASE("Removing or moving an API key takes effect on open connections")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(kBothWorkspaces);
  REQUIRE(WaitForStatus(fleet, 0, "", 401));
  HttpPool kept({ .mAddress = fleet.CallerAddress(0), .mMaxConnections = 1 });
  const auto send = [&](const std::string& aId) {
    return fleet.Send({ .mId = aId, .mKey = kKey, .mPool = &kept }).mStatus;
  };
  CHECK(send("kept-1") == 200);
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[]},"b":{"ApiKeys":[")" + kKey +
                      R"("]}})");
  // In every version of the document either a or b holds the key.
  int tries = 0;
  CHECK(WaitUntil(kWait, [&] {
    const auto id = "move-" + std::to_string(++tries);
    CHECK(send(id) == 200);
    return fleet.WorkspaceOf(id) == "b";
  }));
  fleet.SetWorkspaces(R"({"b":{"ApiKeys":[")" + kOtherKey + R"("]}})");
  CHECK(WaitUntil(kWait, [&] { return send("gone") == 401; }));
  CHECK(send("gone-2") == 401);
  CHECK(fleet.RunsOf("gone-2") == 0);
}

TEST_CASE("A box that cannot reach the store learns of a removed API key from "
          "peers, also after a restart")
{
  MeshFleet fleet({ .mBoxes = 3, .mPortBase = kPortBase, .mLinks = true });
  fleet.SetWorkspaces(kBothWorkspaces);
  for (int box = 0; box < 3; ++box) {
    REQUIRE(WaitForStatus(fleet, box, "", 401));
  }
  fleet.StoreLink(2).CutForward(true);
  fleet.StoreLink(2).CutBackward(true);
  fleet.SetWorkspaces(R"({"b":{"ApiKeys":[")" + kOtherKey + R"("]}})");
  CHECK(WaitForStatus(fleet, 2, kKey, 401));
  CHECK(StatusWith(fleet, 2, kOtherKey, "still") == 200);
  // The restarted box learns of the removal and does not use an older version.
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  CHECK(WaitUntil(kWait, [&] {
    const auto status = StatusWith(fleet, 2, kKey, "restarted");
    CHECK(status != 200);
    return status == 401;
  }));
}

TEST_CASE("A document that gives one API key to two workspaces is rejected, "
          "and the key is not logged")
{
  MeshFleet fleet(2, kPortBase);
  fleet.SetWorkspaces(kBothWorkspaces);
  REQUIRE(WaitForStatus(fleet, 0, "", 401));
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[")" + kOtherKey +
                      R"("]},"b":{"ApiKeys":[")" + kOtherKey + R"("]}})");
  CHECK(WaitUntil(kWait, [&] {
    return fleet.LogOf(0).find("is held by a") != std::string::npos ||
           fleet.LogOf(1).find("is held by a") != std::string::npos;
  }));
  CHECK(StatusWith(fleet, 0, kKey, "same") == 200);
  CHECK(fleet.WorkspaceOf("same") == "a");
  CHECK(fleet.LogOf(0).find("must-not-show") == std::string::npos);
  CHECK(fleet.LogOf(1).find("must-not-show") == std::string::npos);
}

TEST_CASE(
  "All boxes together enforce a workspace limit without affecting others")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[")" + kKey +
                      R"("],"RatePerS":10,"Burst":10},"b":{"ApiKeys":[")" +
                      kOtherKey + R"("]}})");
  for (int box = 0; box < 3; ++box) {
    REQUIRE(WaitForStatus(fleet, box, "", 401));
  }
  // Sends at about eight times the limit until 300 requests are rejected, which
  // takes about one window. The bound on those that run holds for any duration.
  const auto start = Now();
  int ran = 0;
  int rejected = 0;
  for (int i = 0; rejected < 300; ++i) {
    const auto id = "hot-" + std::to_string(i);
    const auto reply = fleet.Send({ .mBox = i % 3, .mId = id, .mKey = kKey });
    if (reply.mStatus == 429) {
      ++rejected;
      CHECK(fleet.RunsOf(id) == 0);
      CHECK_FALSE(HeaderValue(reply.mHeaders, "Retry-After").empty());
    } else {
      CHECK(reply.mStatus == 200);
      ++ran;
    }
    std::this_thread::sleep_for(Millis(12));
    if (i % 50 == 0) {
      CHECK(StatusWith(fleet, i % 3, kOtherKey, "b-" + id) == 200);
    }
  }
  const double seconds = std::chrono::duration<double>(Now() - start).count();
  CAPTURE(seconds);
  CAPTURE(ran);
  // Rate and burst, plus 10 %, plus 20 for each window of 5 s begun.
  CHECK(ran <= (10.0 * seconds + 10.0) * 1.1 + 20.0 * (1.0 + seconds / 5.0));
}
