// Keys and limits of workspaces in fleets of real processes.
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
const std::string kOther = "key-of-b-that-must-not-show";

const std::string kBoth = R"({"a":{"ApiKeys":[")" + kKey +
                          R"("]},"b":{"ApiKeys":[")" + kOther + R"("]}})";

int
StatusWith(MeshFleet& aFleet,
           int aBox,
           const std::string& aKey,
           const std::string& aId)
{
  return aFleet.Send({ .mBox = aBox, .mId = aId, .mKey = aKey }).mStatus;
}

// Sends until a box answers so.
bool
Settles(MeshFleet& aFleet, int aBox, const std::string& aKey, int aStatus)
{
  int tries = 0;
  return WaitUntil(kWait, [&] {
    const auto id = "s-" + std::to_string(aBox) + "-" +
                    std::to_string(aStatus) + "-" + std::to_string(++tries);
    return StatusWith(aFleet, aBox, aKey, id) == aStatus;
  });
}

} // namespace

TEST_CASE("A key names its workspace at the server, and shows nowhere")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(kBoth);
  for (int box = 0; box < 3; ++box) {
    REQUIRE(Settles(fleet, box, "", 401));
    for (int i = 0; i < 4; ++i) {
      const auto id = "k-" + std::to_string(box) + "-" + std::to_string(i);
      CHECK(StatusWith(fleet, box, i % 2 == 0 ? kKey : kOther, id) == 200);
      CHECK(fleet.RunsOf(id) == 1);
      CHECK(fleet.WorkspaceOf(id) == (i % 2 == 0 ? "a" : "b"));
    }
    CHECK(StatusWith(fleet, box, "unknown", "u-" + std::to_string(box)) == 401);
    CHECK(fleet.RunsOf("u-" + std::to_string(box)) == 0);
  }
  CHECK(fleet.SeenByServers().find("must-not-show") == std::string::npos);
  for (int box = 0; box < 3; ++box) {
    CHECK(fleet.LogOf(box).find("must-not-show") == std::string::npos);
    CHECK(fleet.State(box).find("must-not-show") == std::string::npos);
    CHECK(fleet.MetricsOf(box).find("must-not-show") == std::string::npos);
  }
}

TEST_CASE("A key that is taken away or moves stops with the next request")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(kBoth);
  REQUIRE(Settles(fleet, 0, "", 401));
  HttpPool kept({ .mAddress = fleet.CallerAddress(0), .mMaxConnections = 1 });
  const auto send = [&](const std::string& aId) {
    return fleet.Send({ .mId = aId, .mKey = kKey, .mPool = &kept }).mStatus;
  };
  CHECK(send("kept-1") == 200);
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[]},"b":{"ApiKeys":[")" + kKey +
                      R"("]}})");
  // Either a or b holds the key at any version.
  int tries = 0;
  CHECK(WaitUntil(kWait, [&] {
    const auto id = "move-" + std::to_string(++tries);
    CHECK(send(id) == 200);
    return fleet.WorkspaceOf(id) == "b";
  }));
  fleet.SetWorkspaces(R"({"b":{"ApiKeys":[")" + kOther + R"("]}})");
  CHECK(WaitUntil(kWait, [&] { return send("gone") == 401; }));
  CHECK(send("gone-2") == 401);
  CHECK(fleet.RunsOf("gone-2") == 0);
}

TEST_CASE("Boxes that cannot reach the store learn from others of lost keys")
{
  MeshFleet fleet({ .mBoxes = 3, .mPortBase = kPortBase, .mLinks = true });
  fleet.SetWorkspaces(kBoth);
  for (int box = 0; box < 3; ++box) {
    REQUIRE(Settles(fleet, box, "", 401));
  }
  fleet.StoreLink(2).CutForward(true);
  fleet.StoreLink(2).CutBackward(true);
  fleet.SetWorkspaces(R"({"b":{"ApiKeys":[")" + kOther + R"("]}})");
  CHECK(Settles(fleet, 2, kKey, 401));
  CHECK(StatusWith(fleet, 2, kOther, "still") == 200);
  // One that starts again has the removal, not what was before it.
  fleet.SignalBox(2, SIGKILL);
  fleet.WaitForBoxExit(2, kWait);
  fleet.StartBox(2);
  CHECK(WaitUntil(kWait, [&] {
    const auto status = StatusWith(fleet, 2, kKey, "restarted");
    CHECK(status != 200);
    return status == 401;
  }));
}

TEST_CASE("A document with a key of two workspaces replaces nothing")
{
  MeshFleet fleet(2, kPortBase);
  fleet.SetWorkspaces(kBoth);
  REQUIRE(Settles(fleet, 0, "", 401));
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[")" + kOther +
                      R"("]},"b":{"ApiKeys":[")" + kOther + R"("]}})");
  CHECK(WaitUntil(kWait, [&] {
    return fleet.LogOf(0).find("is held by a") != std::string::npos ||
           fleet.LogOf(1).find("is held by a") != std::string::npos;
  }));
  CHECK(StatusWith(fleet, 0, kKey, "same") == 200);
  CHECK(fleet.WorkspaceOf("same") == "a");
  CHECK(fleet.LogOf(0).find("must-not-show") == std::string::npos);
  CHECK(fleet.LogOf(1).find("must-not-show") == std::string::npos);
}

TEST_CASE("All boxes together hold a workspace to its limit, the others pass")
{
  MeshFleet fleet(3, kPortBase);
  fleet.SetWorkspaces(R"({"a":{"ApiKeys":[")" + kKey +
                      R"("],"RatePerS":10,"Burst":10},"b":{"ApiKeys":[")" +
                      kOther + R"("]}})");
  for (int box = 0; box < 3; ++box) {
    REQUIRE(Settles(fleet, box, "", 401));
  }
  // About eight times the limit, until a window's worth has been refused; what
  // runs meanwhile is bounded however long that takes.
  const auto start = Now();
  int ran = 0;
  int refused = 0;
  for (int i = 0; refused < 300; ++i) {
    const auto id = "hot-" + std::to_string(i);
    const auto reply = fleet.Send({ .mBox = i % 3, .mId = id, .mKey = kKey });
    if (reply.mStatus == 429) {
      ++refused;
      CHECK(fleet.RunsOf(id) == 0);
      CHECK_FALSE(HeaderValue(reply.mHeaders, "Retry-After").empty());
    } else {
      CHECK(reply.mStatus == 200);
      ++ran;
    }
    std::this_thread::sleep_for(Millis(12));
    if (i % 50 == 0) {
      CHECK(StatusWith(fleet, i % 3, kOther, "b-" + id) == 200);
    }
  }
  const double seconds = std::chrono::duration<double>(Now() - start).count();
  CAPTURE(seconds);
  CAPTURE(ran);
  // Rate, burst, a tenth more, and 20 for each window begun.
  CHECK(ran <= (10.0 * seconds + 10.0) * 1.1 + 20.0 * (1.0 + seconds / 5.0));
}
