#include "porttiller/node/Node.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/node/AdminServer.h"
#include "porttiller/node/ConfigController.h"
#include "porttiller/node/Dispatcher.h"
#include "porttiller/node/EntryServer.h"
#include "porttiller/node/EntryView.h"
#include "porttiller/node/Home.h"
#include "porttiller/node/HomeServer.h"
#include "porttiller/node/Log.h"
#include "porttiller/node/Metrics.h"
#include "porttiller/node/Random.h"
#include "porttiller/peer/PeerTransport.h"

#include <Poco/JSON/Array.h>
#include <Poco/Timestamp.h>
#include <atomic>
#include <thread>

namespace porttiller {

namespace {

constexpr int kRandomBits = 10;
constexpr std::uint64_t kRandomMask = (1U << kRandomBits) - 1;
// Callers and peers see that this box leaves before it stops accepting.
constexpr Millis kDrainNotice{ 300 };
constexpr Millis kDrainPoll{ 10 };

Incarnation
DrawIncarnation()
{
  const auto micros =
    static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
  return Incarnation((micros << kRandomBits) | (Random() & kRandomMask));
}

} // namespace

class Node::Parts
{
public:
  explicit Parts(Settings aSettings);

  tl::expected<void, std::string> Open();
  void Drain();
  std::string StateText() const;

private:
  void HandlePeer(const wire::Envelope& aRequest, const PeerReplier& aReply);
  wire::Envelope AnswerAttempt(const wire::AttemptRequest& aRequest);

  const Settings mSettings;
  const Incarnation mIncarnation;
  Metrics mMetrics;
  Home mHome;
  EntryView mView;
  AttemptNamer mNamer;
  ConfigController mConfig;
  std::atomic<bool> mDraining{ false };
  std::unique_ptr<PeerTransport> mTransport;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::unique_ptr<HomeServer> mHomeServer;
  std::unique_ptr<EntryServer> mEntryServer;
  std::unique_ptr<AdminServer> mAdminServer;
};

Node::Parts::Parts(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mIncarnation(DrawIncarnation())
  , mHome(mSettings.mBox, mIncarnation)
  , mView(mSettings.mZone, {})
  , mNamer(mSettings.mBox, mIncarnation)
  , mConfig(mSettings, mMetrics)
{
}

tl::expected<void, std::string>
Node::Parts::Open()
{
  auto transport = PeerTransport::Make(
    { .mBindAddress = mSettings.mPeers.mControlAddress,
      .mBox = mSettings.mBox,
      .mIncarnation = mIncarnation },
    [this](const wire::Envelope& aRequest, const PeerReplier& aReply) {
      HandlePeer(aRequest, aReply);
    });
  if (!transport) {
    return tl::make_unexpected(transport.error().mDetail);
  }
  mTransport = std::move(*transport);
  mDispatcher = std::make_unique<Dispatcher>(
    mSettings, mHome, mView, *mTransport, mMetrics);
  mConfig.AddListener(
    [this](const SnapshotPtr& aSnapshot) { mHome.Apply(*aSnapshot); });

  auto homeServer = HomeServer::Make(mSettings, mHome);
  if (!homeServer) {
    return tl::make_unexpected(homeServer.error());
  }
  mHomeServer = std::move(*homeServer);
  auto admin =
    AdminServer::Make(mSettings.mAdminAddress,
                      mMetrics,
                      { .mState = [this] { return StateText(); },
                        .mDraining = [this] { return mDraining.load(); } });
  if (!admin) {
    return tl::make_unexpected(admin.error());
  }
  mAdminServer = std::move(*admin);
  auto entry = EntryServer::Make(
    mSettings, mConfig, { mView, *mDispatcher, mMetrics, mNamer });
  if (!entry) {
    return tl::make_unexpected(entry.error());
  }
  mEntryServer = std::move(*entry);
  mConfig.Start();
  LogLine(LogLevel::kInfo, "started")
    .With("callers", mSettings.mCallers.mAddress)
    .With("home", mSettings.mPeers.mHomeAddress)
    .With("control", mSettings.mPeers.mControlAddress)
    .With("admin", mSettings.mAdminAddress)
    .With("incarnation", std::to_string(mIncarnation.Value()));
  return {};
}

wire::Envelope
Node::Parts::AnswerAttempt(const wire::AttemptRequest& aRequest)
{
  AttemptReport report;
  const auto attempt = AttemptId::Parse(aRequest.attempt());
  const Incarnation named(aRequest.home_incarnation());
  if (attempt) {
    report = aRequest.revoke() ? mHome.Revoke(*attempt, named)
                               : mHome.Query(*attempt, named);
  }
  wire::Envelope envelope;
  auto* reply = envelope.mutable_attempt_reply();
  reply->set_state(static_cast<std::uint32_t>(report.mState));
  reply->set_outcome(static_cast<std::uint32_t>(report.mOutcome));
  const auto& answer = report.mAnswer;
  if (answer && answer->mRequestKey == aRequest.request_key()) {
    reply->set_has_answer(true);
    reply->set_status(answer->mStatus);
    reply->set_content_type(answer->mContentType);
    reply->set_body(answer->mBody);
  }
  return envelope;
}

void
Node::Parts::HandlePeer(const wire::Envelope& aRequest,
                        const PeerReplier& aReply)
{
  if (aRequest.has_attempt()) {
    aReply(AnswerAttempt(aRequest.attempt()));
  }
}

void
Node::Parts::Drain()
{
  const auto bound = Now() + mSettings.mTiming.mDrain;
  LogLine(LogLevel::kInfo, "draining")
    .With("bound_ms", mSettings.mTiming.mDrain.count());
  mDraining = true;
  mHome.SetLeaving();
  mEntryServer->BeginDrain(bound);
  std::this_thread::sleep_for(kDrainNotice);
  mEntryServer->Stop();
  while (mHome.InFlight() > 0 && Now() < bound) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  mHomeServer->Stop();
  mConfig.Stop();
  LogLine(LogLevel::kInfo, "drained")
    .With("left_running", static_cast<std::int64_t>(mHome.InFlight()));
}

std::string
Node::Parts::StateText() const
{
  Poco::JSON::Object state(Poco::JSON_PRESERVE_KEY_ORDER);
  state.set("box", mSettings.mBox.Value());
  state.set("zone", mSettings.mZone.Value());
  state.set("incarnation", std::to_string(mIncarnation.Value()));
  state.set("draining", mDraining.load());
  const auto snapshot = mConfig.Current();
  state.set("revision", snapshot ? snapshot->mRevision : 0);
  state.set("platform_reachable", mConfig.PlatformReachable());
  Poco::JSON::Array servers;
  for (const auto& server : mHome.Servers()) {
    Poco::JSON::Object item(Poco::JSON_PRESERVE_KEY_ORDER);
    item.set("name", server->Spec().mName.Value());
    item.set("service", server->Spec().mService.Value());
    item.set("state", server->Dump());
    servers.add(item);
  }
  state.set("servers", servers);
  state.set("view", mView.Dump());
  return ToJsonText(state) + "\n";
}

tl::expected<std::unique_ptr<Node>, NodeError>
Node::Make(Settings aSettings)
{
  auto parts = std::make_unique<Parts>(std::move(aSettings));
  if (auto opened = parts->Open(); !opened) {
    return tl::make_unexpected(NodeError{ opened.error() });
  }
  return std::unique_ptr<Node>(new Node(std::move(parts)));
}

Node::Node(std::unique_ptr<Parts> aParts)
  : mParts(std::move(aParts))
{
}

Node::~Node() = default;

void
Node::Drain()
{
  mParts->Drain();
}

std::string
Node::StateText() const
{
  return mParts->StateText();
}

} // namespace porttiller
