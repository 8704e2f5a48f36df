// Objects of other writers among those of boxes and servers, each valid for the
// store: boxes run on, start, and follow all other objects.
#include "fleet/Fleet.h"
#include "fleet/MeshFleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 24'300;
constexpr Millis kWait{ 15'000 };

std::string
Nested(int aDepth)
{
  std::string text(static_cast<std::size_t>(aDepth), '[');
  return text + std::string(static_cast<std::size_t>(aDepth), ']');
}

// JSON values that no field of ours holds.
std::vector<std::string>
OddValues()
{
  return { Nested(40),
           Nested(70),
           Nested(100'000),
           "9223372036854775808",
           "99999999999999999999",
           "-99999999999999999999",
           "1e999",
           "\"\\u0000\"" };
}

std::vector<std::string>
OddAddresses()
{
  return {
    "127.0.0.1:0",   "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1",
    "127.0.0.1:80x", "127.0.0.1:",      "127.0.0.1",       ":80",
    "*:80",          "no such host:80", "[::1]:80",        "127.0.0.1:80 "
  };
}

// A record of the mesh dialect with one server.
std::string
Record(const std::string& aBox,
       const std::string& aHome,
       const std::string& aControl,
       const std::string& aServer,
       const std::string& aSlots = "4")
{
  return R"({"box":")" + aBox + R"(","zone":"z","home":")" + aHome +
         R"(","control":")" + aControl +
         R"(","leaving":false,"incarnation":"7","revision":"9","server":{"id":"i-)" +
         aBox + R"(","service":"ledger","address":")" + aServer +
         R"(","slots":)" + aSlots + R"(,"state":"ready","sequence":"12"}})";
}

std::vector<std::string>
OddRecords(const std::string& aBox)
{
  const std::string good = "127.0.0.1:1";
  std::vector<std::string> records;
  for (const auto& address : OddAddresses()) {
    records.push_back(Record(aBox, address, good, good));
    records.push_back(Record(aBox, good, address, good));
    records.push_back(Record(aBox, good, good, address));
  }
  for (const auto& value : OddValues()) {
    records.push_back(Record(aBox, good, good, good, value));
    records.push_back(R"({"odd":)" + value + "}");
  }
  return records;
}

} // namespace

TEST_CASE("Boxes of the mesh run on and start beside odd records")
{
  MeshFleet fleet({ .mBoxes = 2, .mPortBase = kPortBase, .mStartTimes = true });
  int count = 0;
  for (const auto& record : OddRecords("odd")) {
    // Read by watches, and beside each other by lists.
    const auto name = "odd-" + std::to_string(count++);
    fleet.Store().Put({ "box-records", name }, record);
    fleet.Store().Put({ "box-records", "odd" }, record);
  }
  fleet.Configure("/extra/");
  for (int box = 0; box < 2; ++box) {
    CHECK(WaitUntil(kWait, [&] {
      return fleet.Send(box, "GET", "/extra/x", "a").mStatus == 200;
    }));
  }
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.StartBox(0);
  CHECK(WaitUntil(kWait, [&] { return fleet.Server(0).SendHeartbeat(); }));
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(0, "GET", "/safe/x", "b").mStatus == 200;
  }));
  // A change that only the list and watches of records tell.
  fleet.RestartServer(1);
  CHECK(WaitUntil(kWait, [&] { return fleet.Server(1).SendHeartbeat(); }));
  CHECK(WaitUntil(kWait, [&] {
    return fleet.Send(0, "GET", "/safe/x", "c").mStatus == 200;
  }));
  for (int box = 0; box < 2; ++box) {
    CHECK(fleet.Ready(box));
  }
  // Of a box that tells nobody: only the store has it, and boxes that all
  // start read the whole list.
  const std::string nowhere = "127.0.0.1:1";
  fleet.Store().Put({ "box-records", "box-9" },
                    Record("box-9", nowhere, nowhere, nowhere));
  for (int box = 0; box < 2; ++box) {
    fleet.SignalBox(box, SIGKILL);
    fleet.WaitForBoxExit(box, kWait);
  }
  for (int box = 0; box < 2; ++box) {
    fleet.StartBox(box);
  }
  for (int box = 0; box < 2; ++box) {
    CHECK(WaitUntil(kWait, [&] { return fleet.Server(box).SendHeartbeat(); }));
  }
  CHECK(fleet.WaitServers(3));
}

TEST_CASE("Boxes of the mesh keep their configuration beside odd documents")
{
  MeshFleet fleet({ .mBoxes = 2, .mPortBase = kPortBase });
  for (const auto& value : OddValues()) {
    fleet.Store().Put({ "config", "main" }, R"({"Version":)" + value + "}");
    fleet.Store().Put({ "config", "main" },
                      R"({"Version":90,"Routes":{"safe":)" + value +
                        R"(},"Services":{}})");
    fleet.Store().Put({ "config", "odd" }, R"({"Version":)" + value + "}");
  }
  for (int box = 0; box < 2; ++box) {
    CHECK(fleet.Send(box, "GET", "/safe/x", "a").mStatus == 200);
  }
  fleet.Configure("/extra/");
  for (int box = 0; box < 2; ++box) {
    CHECK(WaitUntil(kWait, [&] {
      return fleet.Send(box, "GET", "/extra/x", "b").mStatus == 200;
    }));
  }
}

TEST_CASE("Boxes run on, start and follow the store beside odd objects")
{
  Fleet fleet({ .mBoxes = 2, .mPortBase = kPortBase });
  auto& store = fleet.Platform();
  const auto follows = [&](const std::string& aPath) {
    const auto revision =
      store.Put({ "Route", aPath },
                R"({"path_prefix":"/)" + aPath + R"(","service":"ledger"})");
    for (int box = 0; box < 2; ++box) {
      CAPTURE(box);
      CHECK(WaitUntil(kWait, [&] { return fleet.Revision(box) >= revision; }));
      CHECK(fleet.Send(box, "GET", "/" + aPath, "").mStatus == 200);
    }
  };
  int count = 0;
  const auto put = [&](const std::string& aKind, const std::string& aSpec) {
    store.Put({ aKind, "odd-" + std::to_string(count++) }, aSpec);
  };
  SUBCASE("addresses")
  {
    const std::string good = "127.0.0.1:1";
    for (const auto& address : OddAddresses()) {
      put("Box",
          R"({"zone":"z","home_address":")" + address +
            R"(","control_address":")" + good + "\"}");
      put("Box",
          R"({"zone":"z","home_address":")" + good +
            R"(","control_address":")" + address + "\"}");
      put("BackendServer",
          R"({"service":"ledger","box":"box-0","address":")" + address +
            R"(","slots":1})");
    }
  }
  SUBCASE("values")
  {
    for (const auto& value : OddValues()) {
      for (const char* kind :
           { "Box", "BackendServer", "Service", "Route", "Limits", "Odd" }) {
        put(kind, R"({"odd":)" + value + "}");
      }
      put("BackendServer",
          R"({"service":"ledger","box":"box-0","address":"127.0.0.1:1",)"
          R"("slots":)" +
            value + "}");
      put("Service", value);
      put("Service", "null");
    }
  }
  follows("first");
  fleet.SignalBox(0, SIGKILL);
  fleet.WaitForBoxExit(0, kWait);
  fleet.StartBox(0);
  CHECK(WaitUntil(
    kWait, [&] { return fleet.Send(0, "GET", "/first", "").mStatus == 200; }));
  follows("second");
}
