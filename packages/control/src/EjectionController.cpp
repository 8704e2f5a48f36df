#include "porttiller/control/EjectionController.h"

#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <random>

namespace porttiller {

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kFloorCheckInterval{ 1000 };
constexpr Millis kQueryTimeout{ 200 };
constexpr std::size_t kQueriedHomes = 3;

// Collects the replies of the queried homes; the last reply or timeout
// completes it.
struct Poll
{
  std::mutex mMutex;
  std::vector<PeerHealth> mAnswers;
  std::size_t mOpen = 0;
};

void
AddAnswer(Poll& aPoll, const PeerResult& aResult)
{
  if (!aResult || !aResult->has_health_reply()) {
    return;
  }
  for (const auto& server : aResult->health_reply().servers()) {
    aPoll.mAnswers.push_back(
      { .mSuspicious = server.suspicious(),
        .mMedianLatency =
          Micros(static_cast<std::int64_t>(server.median_latency_us())),
        .mSamples = static_cast<int>(server.samples()) });
  }
}

} // namespace

EjectionController::EjectionController(const Settings& aSettings,
                                       Incarnation aIncarnation,
                                       Home& aHome,
                                       const ConfigController& aConfig,
                                       const MembershipController& aMembership,
                                       PeerTransport& aTransport,
                                       Metrics& aMetrics)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mHome(aHome)
  , mConfig(aConfig)
  , mMembership(aMembership)
  , mTransport(aTransport)
  , mMetrics(aMetrics)
  , mLedger(aSettings.mPlatformAddress, aSettings.mBox, aIncarnation)
{
}

void
EjectionController::Start()
{
  mLedgerWorker = std::make_unique<Worker>();
  mTicker = std::make_unique<Ticker>(kTick, [this] { Tick(); });
  mFloorTicker = std::make_unique<Ticker>(kFloorCheckInterval, [this] {
    CleanLedgers();
    RestoreFloor();
  });
}

void
EjectionController::Stop()
{
  mFloorTicker.reset();
  mTicker.reset();
  if (mLedgerWorker) {
    mLedgerWorker->Stop();
  }
}

void
EjectionController::Tick()
{
  for (const auto& server : mHome.Servers()) {
    const auto before = server->Phase();
    for (const auto& action : server->Tick(Now())) {
      Act(server, action);
    }
    const auto after = server->Phase();
    if (after != before) {
      LogLine(LogLevel::kInfo, "server_phase")
        .With("server", server->Spec().mName.Value())
        .With("from", ToText(before))
        .With("to", ToText(after));
    }
  }
}

void
EjectionController::Act(const LocalServerPtr& aServer,
                        const EjectionAction& aAction)
{
  if (std::holds_alternative<AskPeers>(aAction)) {
    QueryHomes(aServer);
  } else if (std::holds_alternative<RequestPermission>(aAction)) {
    Request(aServer);
  } else {
    Release(aServer);
  }
}

std::vector<BoxSpec>
EjectionController::OtherHomes(const BackendServerSpec& aServer) const
{
  std::vector<BoxSpec> homes;
  const auto snapshot = mConfig.Current();
  const auto* service =
    snapshot ? snapshot->FindService(aServer.mService) : nullptr;
  if (service == nullptr) {
    return homes;
  }
  std::set<BoxName> boxes;
  for (const auto& server : service->mServers) {
    if (server.mBox != mSettings.mBox &&
        !mMembership.IsUnavailable(server.mBox)) {
      boxes.insert(server.mBox);
    }
  }
  for (const auto& box : boxes) {
    homes.push_back(*snapshot->FindBox(box));
  }
  std::mt19937_64 generator(Random());
  std::shuffle(homes.begin(), homes.end(), generator);
  homes.resize(std::min(homes.size(), kQueriedHomes));
  return homes;
}

std::vector<PeerHealth>
EjectionController::OwnHealth(const BackendServerSpec& aServer) const
{
  std::vector<PeerHealth> health;
  for (const auto& other : mHome.Servers()) {
    const auto& spec = other->Spec();
    const auto own = other->Health();
    if (own && spec.mService == aServer.mService &&
        spec.mName != aServer.mName) {
      health.push_back(*own);
    }
  }
  return health;
}

void
EjectionController::QueryHomes(const LocalServerPtr& aServer)
{
  const auto& spec = aServer->Spec();
  const auto others =
    static_cast<int>(CapacityOf(spec.mService).mServers.size()) - 1;
  auto poll = std::make_shared<Poll>();
  poll->mAnswers = OwnHealth(spec);
  const auto homes = OtherHomes(spec);
  poll->mOpen = homes.size();
  if (homes.empty()) {
    aServer->OnPeers(poll->mAnswers, others);
    return;
  }
  wire::Envelope request;
  request.mutable_health()->set_service(spec.mService.Value());
  for (const auto& home : homes) {
    mTransport.Send(home.mControlAddress,
                    request,
                    kQueryTimeout,
                    [aServer, poll, others](const PeerResult& aResult) {
                      std::unique_lock lock(poll->mMutex);
                      AddAnswer(*poll, aResult);
                      if (--poll->mOpen == 0) {
                        aServer->OnPeers(poll->mAnswers, others);
                      }
                    });
  }
}

wire::Envelope
EjectionController::OnHealthRequest(const wire::HealthRequest& aRequest) const
{
  wire::Envelope envelope;
  auto* reply = envelope.mutable_health_reply();
  for (const auto& server : mHome.Servers()) {
    const auto health = server->Health();
    if (!health || server->Spec().mService.Value() != aRequest.service()) {
      continue;
    }
    auto* item = reply->add_servers();
    item->set_server(server->Spec().mName.Value());
    item->set_suspicious(health->mSuspicious);
    item->set_median_latency_us(
      static_cast<std::uint64_t>(health->mMedianLatency.count()));
    item->set_samples(static_cast<std::uint64_t>(health->mSamples));
  }
  return envelope;
}

CapacityView
EjectionController::CapacityOf(const ServiceName& aService) const
{
  CapacityView view;
  const auto snapshot = mConfig.Current();
  const auto* service = snapshot ? snapshot->FindService(aService) : nullptr;
  if (service == nullptr) {
    return view;
  }
  view.mFloorSlots = service->mSpec.mFloorSlots;
  for (const auto& server : service->mServers) {
    const bool own = server.mBox == mSettings.mBox;
    view.mServers.push_back(
      { .mServer = server.mName,
        .mSlots = server.mSlots,
        .mDeparted = !own && mMembership.IsUnavailable(server.mBox) });
  }
  return view;
}

void
EjectionController::Request(const LocalServerPtr& aServer)
{
  mMetrics.Demotions().Increment();
  if (!mLedgerWorker->Post([this, aServer] { TakePermission(aServer); })) {
    aServer->OnPermission(PermissionAnswer::kUnavailable);
  }
}

void
EjectionController::TakePermission(const LocalServerPtr& aServer)
{
  const auto& spec = aServer->Spec();
  const std::lock_guard lock(mLedgerMutex);
  mMetrics.PlatformCalls().Increment();
  const auto answer =
    mLedger.Eject(spec.mService,
                  { spec.mName, spec.mBox, mIncarnation, spec.mSlots },
                  [&] { return CapacityOf(spec.mService); });
  aServer->OnPermission(answer);
  if (answer == PermissionAnswer::kGranted) {
    mMetrics.Ejections().Increment();
    LogLine(LogLevel::kWarning, "server_ejected")
      .With("server", spec.mName.Value());
  } else if (answer == PermissionAnswer::kFloor) {
    mMetrics.FloorRejections().Increment();
    LogLine(LogLevel::kWarning, "ejection_refused_by_floor")
      .With("server", spec.mName.Value());
  }
}

void
EjectionController::Release(const LocalServerPtr& aServer)
{
  const bool posted = mLedgerWorker->Post([this, aServer] {
    const std::lock_guard lock(mLedgerMutex);
    mMetrics.PlatformCalls().Increment();
    aServer->OnReleased(
      mLedger.Release(aServer->Spec().mService, aServer->Spec().mName));
  });
  if (!posted) {
    aServer->OnReleased(false);
  }
}

// After an ejection boxes may die or the floor may be raised. Each home then
// ends those of the newest ejections that are its own, until the floor holds.
// Uses the last known ledger while the platform is unreachable.
void
EjectionController::RestoreFloor()
{
  std::map<ServiceName, std::vector<LocalServerPtr>> holding;
  for (const auto& server : mHome.Servers()) {
    if (server->HoldsPermission()) {
      holding[server->Spec().mService].push_back(server);
    }
  }
  for (const auto& [service, servers] : holding) {
    const std::lock_guard lock(mLedgerMutex);
    if (const auto ledger = mLedger.Read(service)) {
      mLastLedger[service] = *ledger;
    }
    const auto excess = mLastLedger[service].Excess(CapacityOf(service));
    for (const auto& server : servers) {
      const auto isOwn = [&](const LedgerEntry& aEntry) {
        return aEntry.mServer == server->Spec().mName;
      };
      if (std::any_of(excess.begin(), excess.end(), isOwn)) {
        server->OnFloorBroken();
        LogLine(LogLevel::kWarning, "ejection_ended_by_floor")
          .With("server", server->Spec().mName.Value());
      }
    }
  }
}

// Removes stale entries of this box once for each service, and again when one
// of this box's servers was replaced or removed: a new server does not inherit
// the permission of the old one.
void
EjectionController::CleanLedgers()
{
  // Locked before the permissions are read: a server that requests one from
  // here on writes after this cleaning.
  const std::lock_guard lock(mLedgerMutex);
  std::map<ServiceName, std::set<BackendServerName>> holding;
  for (const auto& server : mHome.Servers()) {
    auto& servers = holding[server->Spec().mService];
    if (server->HoldsPermission()) {
      servers.insert(server->Spec().mName);
    }
  }
  for (const auto& service : mHome.TakeReplacedServices()) {
    mCleanedServices.erase(service);
    holding.try_emplace(service);
  }
  for (const auto& [service, servers] : holding) {
    if (!mCleanedServices.contains(service) &&
        mLedger.RemoveStale(service, servers)) {
      mCleanedServices.insert(service);
    }
  }
}

} // namespace porttiller
