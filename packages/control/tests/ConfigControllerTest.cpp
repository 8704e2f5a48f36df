// How a node receives its configuration from peers.
#include "porttiller/control/ConfigController.h"

#include "porttiller/control/ControlCodec.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kOwnAddress = "127.0.0.1:22961";
constexpr const char* kUnresponsiveAddress = "127.0.0.1:22962";
constexpr const char* kAnsweringAddress = "127.0.0.1:22963";
constexpr const char* kNoPlatform = "127.0.0.1:22964"; // nothing listens there

const ConfigPeers kNoPeers{
  .mLiveBoxes = [] { return std::vector<BoxName>{}; },
  .mSpreadPeers = [](const GossipFanout&) { return std::vector<BoxSpec>{}; }
};

// A peer's answer that holds the whole configuration at a revision.
wire::Envelope
WholeAt(std::uint64_t aRevision)
{
  const ObjectDelta delta{ .mTo = aRevision,
                           .mFull = true,
                           .mObjects = { { .mKey = { "Service", "s" },
                                           .mVersion = aRevision,
                                           .mSpecJson = "{}" } } };
  wire::Envelope reply;
  *reply.mutable_delta() = EncodeDelta(delta);
  return reply;
}

std::unique_ptr<PeerTransport>
MakePeer(const std::string& aAddress, const std::string& aBox, bool aAnswers)
{
  auto made = PeerTransport::Make(
    { .mBindAddress = aAddress, .mBox = BoxName(aBox) },
    [aAnswers](const wire::Envelope& aRequest, const PeerReplier& aReply) {
      if (!aAnswers || !aRequest.has_delta_request()) {
        return;
      }
      aReply(WholeAt(5));
    });
  REQUIRE(made);
  return std::move(*made);
}

Settings
OwnSettings()
{
  Settings settings;
  settings.mBox = BoxName("own");
  settings.mPlatformAddress = kNoPlatform;
  return settings;
}

// The box under test. As in a node, its transport is destroyed before its
// controller, since callbacks of pending requests use the controller.
struct OwnBox
{
  OwnBox() = default;
  ~OwnBox()
  {
    mController.Stop();
    mTransport.reset();
  }
  OwnBox(const OwnBox&) = delete;
  OwnBox& operator=(const OwnBox&) = delete;

  const Settings mSettings = OwnSettings();
  std::unique_ptr<PeerTransport> mTransport =
    MakePeer(kOwnAddress, "own", false);
  Metrics mMetrics;
  ConfigController mController{ mSettings, *mTransport, mMetrics, kNoPeers };
};

bool
WaitRevision(const ConfigController& aController, std::uint64_t aRevision)
{
  for (int i = 0; i < 1000; ++i) {
    if (aController.Own().mRevision == aRevision) {
      return true;
    }
    std::this_thread::sleep_for(Millis(10));
  }
  return false;
}

} // namespace

TEST_CASE("An unresponsive peer does not delay delta requests to other peers")
{
  // If only one request may be pending, one to an unreachable peer blocks the
  // others until it times out, and a box learns of a change too late: after
  // 3.4 s in a fleet.
  const auto unresponsive = MakePeer(kUnresponsiveAddress, "silent", false);
  const auto answering = MakePeer(kAnsweringAddress, "answering", true);
  OwnBox own;
  auto& controller = own.mController;
  controller.Start();
  controller.OnPeerRevision(
    { .mAddress = kUnresponsiveAddress, .mRevision = 5 });
  controller.OnPeerRevision({ .mAddress = kAnsweringAddress, .mRevision = 5 });
  CHECK(WaitRevision(controller, 5));
}

TEST_CASE("A change announced during a delta request to the peer is applied")
{
  std::atomic<bool> announced{ false };
  std::atomic<std::uint64_t> revision{ 5 };
  auto made = PeerTransport::Make(
    { .mBindAddress = kAnsweringAddress, .mBox = BoxName("answering") },
    [&](const wire::Envelope& aRequest, const PeerReplier& aReply) {
      const auto answer = WholeAt(revision);
      while (!announced) {
        std::this_thread::sleep_for(Millis(1));
      }
      if (aRequest.has_delta_request()) {
        aReply(answer);
      }
    });
  REQUIRE(made);
  OwnBox own;
  auto& controller = own.mController;
  controller.Start();
  controller.OnPeerRevision({ .mAddress = kAnsweringAddress, .mRevision = 5 });
  std::this_thread::sleep_for(Millis(50)); // the request is in flight
  revision = 6;
  controller.OnPeerRevision({ .mAddress = kAnsweringAddress, .mRevision = 6 });
  announced = true;
  CHECK(WaitRevision(controller, 6));
}

TEST_CASE("A delta received before Start is applied and reported at Start")
{
  // A box that starts in a running fleet may receive a peer's delta before its
  // own start is complete. Calling listeners then ends the process with
  // bad_function_call, as they are not all set up.
  const auto answering = MakePeer(kAnsweringAddress, "answering", true);
  OwnBox own;
  auto& controller = own.mController;
  controller.OnPeerRevision({ .mAddress = kAnsweringAddress, .mRevision = 5 });
  REQUIRE(WaitRevision(controller, 5));
  std::atomic<std::uint64_t> reported{ 0 };
  controller.AddListener(
    [&](const SnapshotPtr& aSnapshot) { reported = aSnapshot->mRevision; });
  controller.Start();
  CHECK(reported == 5);
}
