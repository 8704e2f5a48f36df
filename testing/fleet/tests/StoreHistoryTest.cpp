// What a box without peers knows after the store lost changes.
#include "fleet/Fleet.h"
#include "fleet/Ports.h"
#include "porttiller/control/ConfigController.h"
#include "standin/ObjectStoreStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;
using namespace porttiller::fleet;

namespace {

constexpr Millis kWait{ 20'000 };
constexpr int kStorePort = 22'974;
constexpr int kControlPort = 22'975;

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(TestPort(aPort));
}

std::string
Document(int aVersion)
{
  return R"({"Version":)" + std::to_string(aVersion) +
         R"(,"Routes":{},"Services":{"s":{"HealthPath":"/health"}}})";
}

} // namespace

TEST_CASE("A change that a watch missed is in force after the watch was cut")
{
  // Guards against a configuration that stays old: while the store reports no
  // changes to watches, an answer without changes moves the place where the
  // next watch starts past them. Dropping the history does not show this, as
  // the watch starts after it.
  standin::ObjectStoreStandIn store(Loopback(kStorePort));
  store.Put({ "config", "main" }, Document(1));
  Settings settings;
  settings.mBox = BoxName("own");
  settings.mDialect = Dialect::kMesh;
  settings.mPlatformAddress = Loopback(kStorePort);
  settings.mTiming.mApplyLimit = Millis(1000);
  auto transport = PeerTransport::Make(
    { .mBindAddress = Loopback(kControlPort), .mBox = settings.mBox },
    [](const wire::Envelope&, const PeerReplier&) {});
  REQUIRE(transport);
  Metrics metrics;
  const ConfigPeers noPeers{
    .mLiveBoxes = [] { return std::vector<BoxName>{}; },
    .mSpreadPeers = [](const GossipFanout&) { return std::vector<BoxSpec>{}; }
  };
  ConfigController controller(settings, **transport, metrics, noPeers);
  controller.Start();
  const auto holds = [&](std::uint64_t aRevision) {
    return WaitUntil(kWait,
                     [&] { return controller.Own().mRevision == aRevision; });
  };
  REQUIRE(holds(1));
  store.MuteWatches(true);
  const auto revision = store.Put({ "config", "main" }, Document(2));
  REQUIRE(
    WaitUntil(kWait, [&] { return controller.Store().mCursor == revision; }));
  CHECK(controller.Own().mRevision == 1);
  store.MuteWatches(false);
  store.CompactHistory();
  store.CutWatches();
  CHECK(holds(revision));
  // The same once more: it goes on watching.
  CHECK(holds(store.Put({ "config", "main" }, Document(3))));
  controller.Stop();
  transport->reset(); // no callbacks after this, as in a node
}
