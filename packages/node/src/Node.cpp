#include "porttiller/node/Node.h"

#include "NodePartsPriv.h"
#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/Timestamp.h>
#include <future>
#include <thread>

namespace porttiller {

namespace {

constexpr int kRandomBits = 10;
constexpr std::uint64_t kRandomMask = (1U << kRandomBits) - 1;
constexpr Millis kDrainPollInterval{ 10 };
// The home gets the last half of the drain time to finish its requests. On
// users' machines that is 2.6 s, and few requests take longer.
constexpr int kHomeFinishDivisor = 2;

Incarnation
MakeIncarnation()
{
  const auto micros =
    static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
  return Incarnation((micros << kRandomBits) | (Random() & kRandomMask));
}

void
LogUnanswered(const UnansweredRequest& aRequest)
{
  constexpr Millis::rep kNeverReceived = -1;
  LogLine(LogLevel::kInfo, "control_unanswered")
    .With("to", aRequest.mAddress)
    .With("kind", ToText(aRequest.mKind))
    .With("waited_ms", aRequest.mWaited.count())
    .With("link_heard_ms",
          aRequest.mSinceLinkReply ? aRequest.mSinceLinkReply->count()
                                   : kNeverReceived);
}

void
LogReplaced(const ReplacedLink& aLink)
{
  LogLine(LogLevel::kInfo, "control_link_replaced")
    .With("to", aLink.mAddress)
    .With("silent_ms", aLink.mSilent.count())
    .With("resent", static_cast<std::int64_t>(aLink.mResent));
}

} // namespace

Node::Parts::Parts(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mIncarnation(MakeIncarnation())
  , mBodyBudgets(BodyBudgets::Make(PlanMemory(mSettings.mResources)))
  , mHome(mSettings.mBox,
          mIncarnation,
          { .mFailingServers = mSettings.mFailingServers,
            .mHeaders = EdgeHeadersOf(mSettings),
            .mAnswerBudget = mBodyBudgets.mServerAnswers },
          mSettings.mRetries,
          mShutdownDeadline,
          mCrashMonitor)
  , mView(mSettings.mBox, mSettings.mZone, {})
  , mAttemptIdGenerator(mSettings.mBox, mIncarnation)
  , mGate(LimitBoundsOf(mSettings))
{
}

Node::Parts::~Parts()
{
  StopControllers();
  // No handler runs after the transport is destroyed.
  mControllersReady = false;
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
  CheckBodyLimit(mSettings.mCallers.mMaxBodyBytes);
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
      .mIncarnation = mIncarnation,
      .mOnUnanswered = LogUnanswered,
      .mOnReplaced = LogReplaced },
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
                   [this](const GossipFanout& aFanout) {
                     return mMembership->SpreadPeers(aFanout);
                   } },
    [this](const auto& aObjects) { mUnreadable.Note(aObjects); });
  mMembership = std::make_unique<MembershipController>(
    mSettings,
    mIncarnation,
    *mTransport,
    mView,
    MembershipHooks{
      .mOwnRevision = [this] { return OwnRevision(); },
      .mOnPeerRevision =
        [this](const PeerRevision& aPeer) { OnPeerRevision(aPeer); } });
  mLimits = std::make_unique<LimitController>(
    mSettings, *mTransport, mGate, mMetrics, [this] {
      return mMembership->LiveBoxes();
    });
  mCrashes = std::make_unique<CrashController>(
    mSettings,
    *mTransport,
    mCrashMonitor,
    CrashPeers{ .mLiveBoxes = [this] { return mMembership->LiveBoxes(); },
                .mSpreadPeers =
                  [this](const GossipFanout& aFanout) {
                    return mMembership->SpreadPeers(aFanout);
                  },
                .mSnapshot = [this] { return mConfig->Current(); },
                .mRecheckServers =
                  [this] {
                    for (const auto& server : mHome.Servers()) {
                      server->RecheckCrash();
                    }
                  } });
  if (mSettings.mFailingServers == FailingServers::kEject) {
    mEjection = std::make_unique<EjectionController>(mSettings,
                                                     mIncarnation,
                                                     mHome,
                                                     *mConfig,
                                                     *mMembership,
                                                     *mTransport,
                                                     mMetrics);
  }
  mServerUpdates = std::make_unique<ServerUpdateController>(
    mSettings,
    mHome,
    mView,
    *mTransport,
    [this] { return mConfig->Current(); },
    [this](const ServerIncarnation& aServer) {
      if (mDirectory) {
        mDirectory->OnServerSaysLeaving(aServer);
      }
    });
  if (mSettings.mDialect == Dialect::kNative) {
    mStatus = std::make_unique<StatusController>(
      mSettings, *mConfig, *mMembership, *mTransport, mMetrics);
  }
  if (!mSettings.mRegistration.mAddress.empty()) {
    mDirectory = std::make_unique<DirectoryController>(
      mSettings, mIncarnation, *mTransport, MakeDirectoryHooks());
  }
  mDispatcher = std::make_unique<Dispatcher>(mSettings,
                                             mHome,
                                             mView,
                                             *mTransport,
                                             mMetrics,
                                             mShutdownDeadline,
                                             mBodyBudgets.mHomeAnswers);
  mControllersReady = true;
}

tl::expected<void, std::string>
Node::Parts::OpenServers()
{
  auto homeServer =
    HomeServer::Make(mSettings, mHome, mBodyBudgets.mPeerRequests);
  if (!homeServer) {
    return tl::make_unexpected(homeServer.error());
  }
  mHomeServer = std::move(*homeServer);
  auto admin =
    AdminServer::Make(mSettings.mAdminAddress,
                      mMetrics,
                      { .mRefresh = [this] { RefreshGauges(); },
                        .mState = [this] { return StateText(); },
                        .mDraining = [this] { return mDraining.load(); },
                        .mClearRequest =
                          [this](const RequestDigest& aDigest) {
                            return mCrashMonitor.Clear(aDigest);
                          } });
  if (!admin) {
    return tl::make_unexpected(admin.error());
  }
  mAdminServer = std::move(*admin);
  auto entry = EntryServer::Make(
    mSettings,
    [this] { return mConfig->Current(); },
    { mView,
      *mDispatcher,
      mMetrics,
      mAttemptIdGenerator,
      mAttemptPool,
      mGate,
      mCrashMonitor,
      mShutdownDeadline },
    mBodyBudgets.mCallerRequests);
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
      ReadinessServer::Make(mSettings.mReadiness, [this] { return IsReady(); });
    if (!readiness) {
      return tl::make_unexpected(readiness.error());
    }
    mReadiness = std::move(*readiness);
  }
  return {};
}

bool
Node::Parts::IsReady() const
{
  const auto snapshot = mConfig->Current();
  const bool configured = snapshot && snapshot->mRevision != 0;
  const bool directoryUsable = !mDirectory || mDirectory->Usable();
  return configured && directoryUsable && !mDraining;
}

PeerRevision
Node::Parts::OwnRevision() const
{
  auto own = mConfig->Own();
  own.mDirectory = mDirectory ? mDirectory->Digest() : 0;
  own.mCrashes = mCrashMonitor.SharedDigest();
  return own;
}

void
Node::Parts::OnPeerRevision(const PeerRevision& aPeer)
{
  mConfig->OnPeerRevision(aPeer);
  mCrashes->OnPeerRevision(aPeer);
  if (mDirectory) {
    mDirectory->OnPeerDigest(aPeer);
  }
}

void
Node::Parts::OnSnapshot(const Snapshot& aSnapshot)
{
  mHome.Apply(aSnapshot);
  for (const auto& [box, incarnation] : aSnapshot.mIncarnations) {
    if (mView.HomeStateOf(box).mIncarnation < incarnation) {
      mView.SetHomeState(box, { .mIncarnation = incarnation });
    }
  }
  if (aSnapshot.mRevision == 0) {
    return;
  }
  mEntryServer->SetLimits(aSnapshot.mLimits);
  if (aSnapshot.mLimits) {
    CheckBodyLimit(aSnapshot.mLimits->mMaxBodyBytes);
  }
}

// Says so when this box rejects bodies that the limit allows.
void
Node::Parts::CheckBodyLimit(std::int64_t aMaxBodyBytes)
{
  const auto most = std::min(mBodyBudgets.mCallerRequests->MaxBody(),
                             mBodyBudgets.mPeerRequests->MaxBody());
  if (static_cast<std::size_t>(aMaxBodyBytes) > most &&
      mReportedBodyLimit.exchange(aMaxBodyBytes) != aMaxBodyBytes) {
    LogLine(LogLevel::kWarning, "body_limit_exceeds_memory")
      .With("max_body_bytes", aMaxBodyBytes)
      .With("possible_bytes", static_cast<std::int64_t>(most));
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
             [this](const ServerIncarnation& aServer) {
               mHome.SetServerLeaving(aServer);
             },
           .mRandomPeers =
             [this](std::size_t aCount) {
               return mMembership->RandomPeers(aCount);
             },
           .mSpreadPeers =
             [this](const GossipFanout& aFanout) {
               return mMembership->SpreadPeers(aFanout);
             },
           .mOnUnreadable =
             [this](const auto& aObjects) { mUnreadable.Note(aObjects); },
           .mHealthPath =
             [this](const ServiceName& aService) {
               const auto snapshot = mConfig->Current();
               const auto* service =
                 snapshot ? snapshot->FindService(aService) : nullptr;
               return service ? service->mSpec.mHealthPath : std::string();
             },
           .mShouldListRecords = [this] { return mConfig->IsFirstWatcher(); } };
}

void
Node::Parts::StartControllers()
{
  mConfig->AddListener(
    [this](const SnapshotPtr& aSnapshot) { mMembership->Apply(aSnapshot); });
  mConfig->AddListener(
    [this](const SnapshotPtr& aSnapshot) { OnSnapshot(*aSnapshot); });
  mConfig->AddListener(
    [this](const SnapshotPtr& aSnapshot) { mLimits->Apply(aSnapshot); });
  mConfig->Start();
  mMembership->Start();
  mCrashes->Start();
  if (mDirectory) {
    mDirectory->Start();
  }
  if (mEjection) {
    mEjection->Start();
  }
  mServerUpdates->Start();
  if (mStatus) {
    mStatus->Start();
  }
}

void
Node::Parts::StopControllers()
{
  if (mControllersReady) {
    if (mStatus) {
      mStatus->Stop();
    }
    if (mEjection) {
      mEjection->Stop();
    }
    mServerUpdates->Stop();
    if (mDirectory) {
      mDirectory->Stop();
    }
    mCrashes->Stop();
    mMembership->Stop();
    mConfig->Stop();
    mLimits->Stop();
  }
}

// Makes the home reject new requests and notifies the other boxes.
void
Node::Parts::AnnounceHomeLeaving()
{
  LogLine(LogLevel::kInfo, "home_leaving")
    .With("running", static_cast<std::int64_t>(mHome.InFlight()));
  mHome.SetLeaving();
  mMembership->Leave();
  if (mDirectory) {
    mDirectory->Leave();
  }
}

// The entry stops first; the home accepts requests until shortly before the
// end, because its backend server is still running. During a rolling restart of
// many boxes, each second in which homes reject requests reduces the capacity
// of the service.
void
Node::Parts::Drain()
{
  const auto bound = Now() + mSettings.mTiming.mDrain;
  LogLine(LogLevel::kInfo, "draining")
    .With("bound_ms", mSettings.mTiming.mDrain.count());
  mDraining = true;
  mShutdownDeadline.Set(bound);
  mEntryServer->BeginDrain();
  std::this_thread::sleep_for(mSettings.mTiming.mDrainNotice);
  mShutdownDeadline.CloseToCallers();
  auto entryStopped =
    std::async(std::launch::async, [this] { mEntryServer->Stop(); });
  entryStopped.wait_until(bound -
                          mSettings.mTiming.mDrain / kHomeFinishDivisor);
  AnnounceHomeLeaving();
  entryStopped.get();
  while (mHome.InFlight() > 0 && Now() < bound) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  mHomeServer->Stop();
  StopControllers();
  LogLine(LogLevel::kInfo, "drained")
    .With("left_running", static_cast<std::int64_t>(mHome.InFlight()));
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
