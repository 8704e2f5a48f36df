#include "porttiller/node/Node.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/control/ConfigController.h"
#include "porttiller/control/DirectoryController.h"
#include "porttiller/control/EjectionController.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/NewsController.h"
#include "porttiller/control/StatusController.h"
#include "porttiller/entry/Dispatcher.h"
#include "porttiller/entry/EntryServer.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/home/Home.h"
#include "porttiller/home/HomeServer.h"
#include "porttiller/hop/Cutoff.h"
#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/Random.h"
#include "porttiller/node/AdminServer.h"
#include "porttiller/node/ReadinessServer.h"
#include "porttiller/node/RegistrationServer.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/telemetry/Log.h"
#include "porttiller/telemetry/Metrics.h"

#include <Poco/JSON/Array.h>
#include <Poco/Timestamp.h>
#include <atomic>
#include <future>
#include <map>
#include <optional>
#include <thread>

namespace porttiller {

namespace {

constexpr int kRandomBits = 10;
constexpr std::uint64_t kRandomMask = (1U << kRandomBits) - 1;
constexpr Millis kDrainPoll{ 10 };
// Of a planned stop, the last half is for the home to finish what it runs. On
// the users' machines that is 2.6 s, and few requests take longer.
constexpr int kHomeFinishPart = 2;

Incarnation
DrawIncarnation()
{
  const auto micros =
    static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
  return Incarnation((micros << kRandomBits) | (Random() & kRandomMask));
}

wire::Envelope
MakeAck()
{
  wire::Envelope ack;
  ack.mutable_ack();
  return ack;
}

} // namespace

class Node::Parts
{
public:
  explicit Parts(Settings aSettings);

  ~Parts();

  tl::expected<void, std::string> Open();
  void Drain();
  void LeaveHome();
  std::string StateText() const;

private:
  int ServersInUse() const;
  tl::expected<void, std::string> OpenTransport();
  tl::expected<void, std::string> OpenServers();
  void MakeControllers();
  void StartControllers();
  void StopControllers();
  void HandlePeer(const wire::Envelope& aRequest, const PeerReplier& aReply);
  std::optional<wire::Envelope> Answer(const wire::Envelope& aRequest);
  wire::Envelope AnswerAttempt(const wire::AttemptRequest& aRequest);
  void RefreshGauges();
  tl::expected<void, std::string> OpenPlatformServers();
  DirectoryHooks MakeDirectoryHooks();
  void OnSnapshot(const Snapshot& aSnapshot);
  bool Ready() const;
  PeerRevision OwnRevision() const;
  void OnPeerRevision(const PeerRevision& aPeer);

  const Settings mSettings;
  const Incarnation mIncarnation;
  Metrics mMetrics;
  Cutoff mCutoff;
  Home mHome;
  EntryView mView;
  AttemptNamer mNamer;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mReady{ false }; // the controllers below exist
  std::unique_ptr<ConfigController> mConfig;
  std::unique_ptr<MembershipController> mMembership;
  std::unique_ptr<EjectionController> mEjection;
  std::unique_ptr<StatusController> mStatus;
  std::unique_ptr<NewsController> mNews; // null: failing servers are ejected
  std::unique_ptr<Dispatcher> mDispatcher;
  AttemptPool mAttemptPool;
  std::unique_ptr<HomeServer> mHomeServer;
  std::unique_ptr<EntryServer> mEntryServer;
  std::unique_ptr<DirectoryController> mDirectory; // null: operators list all
  std::unique_ptr<RegistrationServer> mRegistration;
  std::unique_ptr<ReadinessServer> mReadiness;
  std::unique_ptr<AdminServer> mAdminServer;
  std::unique_ptr<PeerTransport> mTransport;
};

Node::Parts::Parts(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mIncarnation(DrawIncarnation())
  , mHome(mSettings.mBox,
          mIncarnation,
          { .mFailingServers = mSettings.mFailingServers,
            .mHeaders = EdgeHeadersOf(mSettings) },
          mSettings.mRetries,
          mCutoff)
  , mView(mSettings.mBox, mSettings.mZone, {})
  , mNamer(mSettings.mBox, mIncarnation)
{
}

Node::Parts::~Parts()
{
  StopControllers();
  // No handler runs any more once the transport is gone.
  mReady = false;
  mTransport.reset();
}

tl::expected<void, std::string>
Node::Parts::Open()
{
  auto opened = OpenTransport();
  if (opened) {
    MakeControllers();
    opened = OpenServers();
  }
  if (!opened) {
    return opened;
  }
  StartControllers();
  LogLine(LogLevel::kInfo, "started")
    .With("callers", mSettings.mCallers.mAddress)
    .With("home", mSettings.mPeers.mHomeAddress)
    .With("control", mSettings.mPeers.mControlAddress)
    .With("admin", mSettings.mAdminAddress)
    .With("incarnation", std::to_string(mIncarnation.Value()));
  return {};
}

tl::expected<void, std::string>
Node::Parts::OpenTransport()
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
  return {};
}

void
Node::Parts::MakeControllers()
{
  mConfig = std::make_unique<ConfigController>(
    mSettings,
    *mTransport,
    mMetrics,
    ConfigPeers{ .mLiveBoxes = [this] { return mMembership->LiveBoxes(); },
                 .mSpreadPeers =
                   [this](const SpreadOptions& aOptions) {
                     return mMembership->SpreadPeers(aOptions);
                   } });
  mMembership = std::make_unique<MembershipController>(
    mSettings,
    mIncarnation,
    *mTransport,
    mView,
    MembershipHooks{
      .mOwnRevision = [this] { return OwnRevision(); },
      .mOnPeerRevision =
        [this](const PeerRevision& aPeer) { OnPeerRevision(aPeer); } });
  if (mSettings.mFailingServers == FailingServers::kEject) {
    mEjection = std::make_unique<EjectionController>(mSettings,
                                                     mIncarnation,
                                                     mHome,
                                                     *mConfig,
                                                     *mMembership,
                                                     *mTransport,
                                                     mMetrics);
  }
  if (mSettings.mFailingServers == FailingServers::kBreak) {
    mNews = std::make_unique<NewsController>(
      mSettings, mHome, mView, *mTransport, [this] {
        return mConfig->Current();
      });
  }
  if (mSettings.mDialect == Dialect::kNative) {
    mStatus = std::make_unique<StatusController>(
      mSettings, *mConfig, *mMembership, *mTransport, mMetrics);
  }
  if (!mSettings.mRegistration.mAddress.empty()) {
    mDirectory = std::make_unique<DirectoryController>(
      mSettings, mIncarnation, *mTransport, MakeDirectoryHooks());
  }
  mDispatcher = std::make_unique<Dispatcher>(
    mSettings, mHome, mView, *mTransport, mMetrics, mCutoff);
  mReady = true;
}

tl::expected<void, std::string>
Node::Parts::OpenServers()
{
  auto homeServer = HomeServer::Make(mSettings, mHome);
  if (!homeServer) {
    return tl::make_unexpected(homeServer.error());
  }
  mHomeServer = std::move(*homeServer);
  auto admin =
    AdminServer::Make(mSettings.mAdminAddress,
                      mMetrics,
                      { .mRefresh = [this] { RefreshGauges(); },
                        .mState = [this] { return StateText(); },
                        .mDraining = [this] { return mDraining.load(); } });
  if (!admin) {
    return tl::make_unexpected(admin.error());
  }
  mAdminServer = std::move(*admin);
  auto entry =
    EntryServer::Make(mSettings,
                      [this] { return mConfig->Current(); },
                      { mView, *mDispatcher, mMetrics, mNamer, mAttemptPool });
  if (!entry) {
    return tl::make_unexpected(entry.error());
  }
  mEntryServer = std::move(*entry);
  return OpenPlatformServers();
}

tl::expected<void, std::string>
Node::Parts::OpenPlatformServers()
{
  if (mDirectory) {
    auto registration = RegistrationServer::Make(mSettings, *mDirectory);
    if (!registration) {
      return tl::make_unexpected(registration.error());
    }
    mRegistration = std::move(*registration);
  }
  if (!mSettings.mReadiness.mAddress.empty()) {
    auto readiness =
      ReadinessServer::Make(mSettings.mReadiness, [this] { return Ready(); });
    if (!readiness) {
      return tl::make_unexpected(readiness.error());
    }
    mReadiness = std::move(*readiness);
  }
  return {};
}

bool
Node::Parts::Ready() const
{
  const auto snapshot = mConfig->Current();
  const bool configured = snapshot && snapshot->mRevision != 0;
  const bool placed = !mDirectory || mDirectory->Usable();
  return configured && placed && !mDraining;
}

PeerRevision
Node::Parts::OwnRevision() const
{
  auto own = mConfig->Own();
  own.mDirectory = mDirectory ? mDirectory->Digest() : 0;
  return own;
}

void
Node::Parts::OnPeerRevision(const PeerRevision& aPeer)
{
  mConfig->OnPeerRevision(aPeer);
  if (mDirectory) {
    mDirectory->OnPeerDigest(aPeer);
  }
}

void
Node::Parts::OnSnapshot(const Snapshot& aSnapshot)
{
  mHome.Apply(aSnapshot);
  for (const auto& [box, incarnation] : aSnapshot.mIncarnations) {
    if (mView.LifeOf(box).mIncarnation < incarnation) {
      mView.SetLife(box, { .mIncarnation = incarnation });
    }
  }
  if (aSnapshot.mLimits) {
    mEntryServer->SetLimits(*aSnapshot.mLimits);
  }
}

DirectoryHooks
Node::Parts::MakeDirectoryHooks()
{
  return { .mOnChange =
             [this](std::vector<BoxRecord> aRecords) {
               mConfig->SetDirectory(std::move(aRecords));
             },
           .mOnServerLeaving =
             [this](const BackendServerName& aServer) {
               mHome.SetServerLeaving(aServer);
             },
           .mRandomPeers =
             [this](std::size_t aCount) {
               return mMembership->RandomPeers(aCount);
             },
           .mSpreadPeers =
             [this](const SpreadOptions& aOptions) {
               return mMembership->SpreadPeers(aOptions);
             },
           .mReadsList = [this] { return mConfig->IsFirstWatcher(); } };
}

void
Node::Parts::StartControllers()
{
  mConfig->AddListener(
    [this](const SnapshotPtr& aSnapshot) { mMembership->Apply(aSnapshot); });
  mConfig->AddListener(
    [this](const SnapshotPtr& aSnapshot) { OnSnapshot(*aSnapshot); });
  mConfig->Start();
  mMembership->Start();
  if (mDirectory) {
    mDirectory->Start();
  }
  if (mEjection) {
    mEjection->Start();
  }
  if (mNews) {
    mNews->Start();
  }
  if (mStatus) {
    mStatus->Start();
  }
}

void
Node::Parts::StopControllers()
{
  if (mReady) {
    if (mStatus) {
      mStatus->Stop();
    }
    if (mEjection) {
      mEjection->Stop();
    }
    if (mNews) {
      mNews->Stop();
    }
    if (mDirectory) {
      mDirectory->Stop();
    }
    mMembership->Stop();
    mConfig->Stop();
  }
}

void
Node::Parts::RefreshGauges()
{
  const auto traffic = mTransport->Traffic();
  mMetrics.ControlBytesSent().Set(static_cast<double>(traffic.mBytesSent));
  mMetrics.ControlBytesReceived().Set(
    static_cast<double>(traffic.mBytesReceived));
  std::map<std::string, std::uint64_t> byKind;
  for (const auto& [kind, bytes] : traffic.mSentByKind) {
    byKind[ToText(kind)] += bytes;
  }
  for (const auto& [kind, bytes] : byKind) {
    mMetrics.ControlBytesSentOf(kind).Set(static_cast<double>(bytes));
  }
  mMetrics.UnreadableMessages().Set(static_cast<double>(traffic.mUnreadable));
  mMetrics.LateReplies().Set(static_cast<double>(traffic.mLateReplies));
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
  if (!mReady) {
    return; // the sender asks again
  }
  if (aRequest.has_indirect_probe()) {
    mMembership->OnIndirectProbe(aRequest, aReply);
  } else if (const auto answer = Answer(aRequest)) {
    aReply(*answer);
  }
}

std::optional<wire::Envelope>
Node::Parts::Answer(const wire::Envelope& aRequest)
{
  switch (aRequest.body_case()) {
    case wire::Envelope::kAttempt:
      return AnswerAttempt(aRequest.attempt());
    case wire::Envelope::kProbe:
      return mMembership->OnProbe(aRequest);
    case wire::Envelope::kDeltaRequest:
      return mConfig->OnDeltaRequest(aRequest.delta_request());
    case wire::Envelope::kHealth:
      if (mEjection) {
        return mEjection->OnHealthRequest(aRequest.health());
      }
      return std::nullopt;
    case wire::Envelope::kBoxRecords:
      if (mDirectory) {
        mDirectory->OnRecords(aRequest.box_records());
      }
      return MakeAck();
    case wire::Envelope::kDirectoryRequest:
      if (mDirectory) {
        return mDirectory->OnDirectoryRequest(aRequest.directory_request());
      }
      return std::nullopt;
    case wire::Envelope::kServerNews:
      if (mNews) {
        mNews->OnNews(aRequest.server_news());
      }
      return std::nullopt; // nobody waits for a reply
    case wire::Envelope::kAnnounce: {
      mConfig->OnAnnounce(aRequest);
      return MakeAck();
    }
    default:
      return std::nullopt;
  }
}

// No more work for the servers of this box; others are told.
void
Node::Parts::LeaveHome()
{
  LogLine(LogLevel::kInfo, "home_leaving")
    .With("running", static_cast<std::int64_t>(mHome.InFlight()));
  mHome.SetLeaving();
  mMembership->Leave();
  if (mDirectory) {
    mDirectory->Leave();
  }
}

// The callers' side stops first. The backend server beside this box runs on,
// and is worth using until shortly before the end: with many boxes stopped in
// turn, each second that homes refuse costs the service a share of its
// capacity.
void
Node::Parts::Drain()
{
  const auto bound = Now() + mSettings.mTiming.mDrain;
  LogLine(LogLevel::kInfo, "draining")
    .With("bound_ms", mSettings.mTiming.mDrain.count());
  mDraining = true;
  mCutoff.Set(bound);
  mEntryServer->BeginDrain();
  std::this_thread::sleep_for(mSettings.mTiming.mDrainNotice);
  auto entryStopped =
    std::async(std::launch::async, [this] { mEntryServer->Stop(); });
  entryStopped.wait_until(bound - mSettings.mTiming.mDrain / kHomeFinishPart);
  LeaveHome();
  entryStopped.get();
  while (mHome.InFlight() > 0 && Now() < bound) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  mHomeServer->Stop();
  StopControllers();
  LogLine(LogLevel::kInfo, "drained")
    .With("left_running", static_cast<std::int64_t>(mHome.InFlight()));
}

// Servers that this box's entry may send to, as far as they have told.
int
Node::Parts::ServersInUse() const
{
  const auto snapshot = mConfig->Current();
  int count = 0;
  if (snapshot) {
    for (const auto& [name, service] : snapshot->mServices) {
      for (const auto& server : service.mServers) {
        count += server.mLeaving ? 0 : 1;
      }
    }
  }
  return count;
}

std::string
Node::Parts::StateText() const
{
  Poco::JSON::Object state(Poco::JSON_PRESERVE_KEY_ORDER);
  state.set("box", mSettings.mBox.Value());
  state.set("zone", mSettings.mZone.Value());
  state.set("incarnation", std::to_string(mIncarnation.Value()));
  state.set("draining", mDraining.load());
  state.set("revision", mConfig->Own().mRevision);
  state.set("platform_reachable", mConfig->PlatformReachable());
  state.set("watcher", mConfig->IsWatcher());
  state.set("servers_in_use", ServersInUse());
  Poco::JSON::Array servers;
  for (const auto& server : mHome.Servers()) {
    Poco::JSON::Object item(Poco::JSON_PRESERVE_KEY_ORDER);
    item.set("name", server->Spec().mName.Value());
    item.set("service", server->Spec().mService.Value());
    item.set("phase", ToText(server->Phase()));
    item.set("state", server->Dump());
    servers.add(item);
  }
  state.set("servers", servers);
  state.set("members", mMembership->Dump());
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
