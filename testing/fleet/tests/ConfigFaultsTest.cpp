// Configuration changes under faults: the platform is unavailable, slow or
// loses answers, boxes restart, objects are invalid.
#include "fleet/Fleet.h"
#include "porttiller/config/JsonText.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 22300;
constexpr Millis kWait{ 20'000 };

// Five boxes in one zone: three watch the store, two learn from peers.
FleetOptions
Options()
{
  return { .mBoxes = 5,
           .mZones = 1,
           .mPortBase = kPortBase,
           .mExtraSettings = R"(, "timing": { "probe_interval_ms": 100 })" };
}

bool
WaitForRevision(Fleet& aFleet, std::uint64_t aRevision)
{
  return WaitUntil(kWait, [&] {
    for (int box = 0; box < 5; ++box) {
      if (aFleet.Revision(box) < aRevision) {
        return false;
      }
    }
    return true;
  });
}

std::uint64_t
PutService(Fleet& aFleet, const std::string& aSpec)
{
  return aFleet.Platform().Put({ "Service", "ledger" }, aSpec);
}

} // namespace

TEST_CASE(
  "A change takes effect on every box, whether it watches the store or not")
{
  Fleet fleet(Options());
  int watchers = 0;
  for (int box = 0; box < 5; ++box) {
    watchers +=
      fleet.State(box).find("\"watcher\":true") != std::string::npos ? 1 : 0;
  }
  CHECK(watchers == 3);
  CHECK(WaitForRevision(fleet, PutService(fleet, R"({"floor_slots": 1})")));
  fleet.Platform().Remove({ "Route", "all" });
  REQUIRE(WaitUntil(kWait, [&] {
    for (int box = 0; box < 5; ++box) {
      if (fleet.Send(box, "GET", "/x", "").mStatus != 404) {
        return false;
      }
    }
    return true;
  }));
}

TEST_CASE("A change that follows a write of an unrelated kind takes effect")
{
  Fleet fleet(Options());
  const auto other = fleet.Platform().Put({ "Note", "other" }, "{}");
  const auto watchers = [&](const auto& aHolds) {
    for (int box = 0; box < 5; ++box) {
      const auto state = ParseJsonObject(fleet.State(box));
      if (!state || ((*state)->optValue("watcher", false) && !aHolds(*state))) {
        return false;
      }
    }
    return true;
  };
  REQUIRE(WaitUntil(kWait, [&] {
    return watchers([&](const auto& aState) {
      return aState->template optValue<std::uint64_t>("store_cursor", 0) >=
             other;
    });
  }));
  CHECK(WaitForRevision(fleet, PutService(fleet, R"({"floor_slots": 1})")));
}

TEST_CASE("Announcements propagate a change without waiting for probes")
{
  // Guards against changes that propagate only with probes, which takes 1 to
  // 3 s.
  auto options = Options();
  options.mExtraSettings = R"(, "timing": { "probe_interval_ms": 60000 })";
  Fleet fleet(options);
  for (int i = 1; i <= 3; ++i) {
    CHECK(WaitForRevision(
      fleet,
      PutService(fleet, "{\"floor_slots\": " + std::to_string(i) + "}")));
  }
}

TEST_CASE("Changes take effect and requests succeed after all open connections "
          "stop carrying data")
{
  // Rules out probes, so that only announcements propagate the change.
  auto options = Options();
  options.mLinks = true;
  options.mExtraSettings = R"(, "timing": { "probe_interval_ms": 60000 })";
  Fleet fleet(options);
  for (int i = 1; i <= 3; ++i) {
    fleet.SilencePlatformLinks();
    fleet.SilenceBoxLinks();
    CHECK(WaitForRevision(
      fleet,
      PutService(fleet, "{\"floor_slots\": " + std::to_string(i) + "}")));
    CHECK(fleet.Send(0, "GET", "/x", "").mStatus == 200);
  }
}

TEST_CASE("Boxes serve and restart while the platform is unavailable, and "
          "apply changes after that")
{
  Fleet fleet(Options());
  const auto revision = PutService(fleet, R"({"floor_slots": 2})");
  REQUIRE(WaitForRevision(fleet, revision));
  fleet.Platform().SetDown(true);
  CHECK(fleet.Send(0, "GET", "/x", "").mStatus == 200);
  for (int box = 0; box < 5; ++box) { // one at a time, while its peers run
    fleet.SignalBox(box, SIGKILL);
    fleet.StartBox(box);
    REQUIRE(WaitUntil(kWait, [&] { return fleet.Revision(box) >= revision; }));
    CHECK(fleet.Send(box, "GET", "/x", "").mStatus == 200);
  }
  fleet.Platform().SetDown(false);
  CHECK(WaitForRevision(fleet, PutService(fleet, R"({"floor_slots": 3})")));
}

TEST_CASE("No box returns to an older configuration under outages and pauses, "
          "and all reach the last one")
{
  Fleet fleet(Options());
  std::vector<std::uint64_t> seen(5, 0);
  const auto checkRevisions = [&] {
    for (int box = 0; box < 5; ++box) {
      const auto revision = fleet.Revision(box);
      CHECK(revision >= seen[static_cast<std::size_t>(box)]);
      seen[static_cast<std::size_t>(box)] = revision;
    }
  };
  std::uint64_t last = 0;
  for (int i = 0; i < 24; ++i) {
    switch (i % 6) {
      case 1:
        fleet.Platform().SetDown(true);
        break;
      case 2:
        fleet.SignalBox(i % 5, SIGSTOP);
        break;
      case 3:
        fleet.Platform().SetDown(false);
        break;
      case 4:
        fleet.SignalBox((i - 2) % 5, SIGCONT);
        break;
      case 5:
        fleet.Platform().SetSlow(Millis(i % 2 == 0 ? 0 : 100));
        break;
      default:
        break;
    }
    last = PutService(fleet, "{\"floor_slots\": " + std::to_string(i) + "}");
    if (i % 6 != 2 && i % 6 != 3) { // a stopped process does not answer
      checkRevisions();
    }
  }
  CHECK(WaitForRevision(fleet, last));
  checkRevisions();
}

TEST_CASE("The fleet status names the field of an invalid object until it is "
          "corrected, and the fleet keeps serving")
{
  Fleet fleet(Options());
  const auto bad = PutService(fleet, R"({"floor_slots": "many"})");
  REQUIRE(WaitForRevision(fleet, bad));
  CHECK(fleet.Send(0, "GET", "/x", "").mStatus == 200);
  const auto status = [&] {
    return fleet.Platform().SpecOf({ "FleetStatus", "fleet" });
  };
  CHECK(WaitUntil(kWait, [&] {
    return status().find("spec.floor_slots") != std::string::npos;
  }));
  const auto good = PutService(fleet, R"({"floor_slots": 4})");
  CHECK(WaitUntil(kWait, [&] {
    const auto json = ParseJsonObject(status());
    return json &&
           (*json)->getValue<std::uint64_t>("accepted_revision") >= good &&
           (*json)->getValue<int>("boxes_in_force") == 5 &&
           status().find("spec.floor_slots") == std::string::npos;
  }));
}

TEST_CASE("A box that starts without platform and peers rejects a request as "
          "not run, and serves once the platform is up")
{
  Fleet fleet(Options());
  fleet.Platform().SetDown(true);
  for (int box = 0; box < 5; ++box) {
    fleet.SignalBox(box, SIGKILL);
  }
  fleet.StartBox(0);
  REQUIRE(standin::WaitForListener(fleet.CallerAddress(0), kWait));
  const auto early = fleet.Send(0, "GET", "/x", "");
  CHECK(early.mStatus == 503);
  CHECK(early.mOutcome == "not-run");
  CHECK_FALSE(HeaderValue(early.mHeaders, "Retry-After").empty());
  fleet.Platform().SetDown(false);
  CHECK(WaitUntil(
    kWait, [&] { return fleet.Send(0, "GET", "/x", "").mStatus == 200; }));
}
