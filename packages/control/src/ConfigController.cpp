#include "porttiller/control/ConfigController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/control/StoreClient.h"
#include "porttiller/core/Rendezvous.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// Divides the time within which a change must be in force: a watch of the zone
// ends in every half of it, and a watcher abandons an unresponsive connection
// after another quarter. The last quarter is for sending the change to the
// other boxes.
constexpr int kWatchStepDivisor = 2;
// At the first start of the whole system a box waits up to this time to learn
// from peers which boxes watch, before it queries the platform itself.
constexpr Millis kFirstStartWait{ 3000 };
constexpr Millis kPeerCheckInterval{ 500 };
// After that, a box that is not a watcher waits this long for an announcement.
constexpr Millis kFirstStartFallbackWait{ 2000 };
constexpr Millis kCallTimeout{ 1000 };
constexpr Millis kRetryWait{ 500 };
// Interval at which a box that is not a watcher reads the platform, in case no
// peer reaches it.
constexpr Millis kFallbackWait{ 30'000 };
// It does not read the platform if a peer's revision came within this time;
// each of its neighbours sends its revision with its probes.
constexpr Millis kPeerRevisionMaxAge{ 5000 };
constexpr Millis kRoleCheckInterval{ 1000 };
constexpr Millis kDeltaTimeout{ 1000 };
constexpr Millis kAnnounceTimeout{ 1000 };
constexpr std::size_t kWatchersPerZone = 3;
// A box that read a change from the platform or a seed announces it in its
// zone, and to one box of each other zone in case the watchers there cannot
// read the platform. A box that got it from a peer announces it in its zone.
constexpr GossipFanout kSourceFanout{ .mOwnZone = 4, .mPerOtherZone = 1 };
constexpr GossipFanout kForwardFanout{ .mOwnZone = 4 };
constexpr Millis::rep kNoReplyYetMs = -1; // in log lines

Millis
Jittered(Millis aTime)
{
  const auto span = static_cast<std::uint64_t>(aTime.count());
  return aTime + Millis(static_cast<std::int64_t>(Random() % span));
}

} // namespace

ConfigController::ConfigController(const Settings& aSettings,
                                   PeerTransport& aTransport,
                                   Metrics& aMetrics,
                                   ConfigPeers aPeers,
                                   UnreadableListener aOnUnreadable)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mMetrics(aMetrics)
  , mPeers(std::move(aPeers))
  , mOnUnreadable(std::move(aOnUnreadable))
  , mWatchSchedule(
      { .mStep = aSettings.mTiming.mApplyLimit / kWatchStepDivisor })
  , mClient(ClientOptions())
{
}

ConfigController::~ConfigController()
{
  Stop();
}

void
ConfigController::AddListener(SnapshotListener aListener)
{
  const std::lock_guard applyLock(mApplyMutex);
  mListeners.push_back(std::move(aListener));
}

void
ConfigController::Start()
{
  {
    const std::lock_guard applyLock(mApplyMutex);
    if (const auto snapshot = Current()) {
      NotifyListeners(snapshot);
    }
  }
  mThread = std::thread([this] { Run(); });
}

void
ConfigController::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStop = true;
    mWake.notify_all();
  }
  mClient.Abort();
  mWorker.Stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

SnapshotPtr
ConfigController::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

PeerRevision
ConfigController::Own() const
{
  const std::lock_guard lock(mMutex);
  return { .mRevision = mObjects.Revision(), .mDigest = mObjects.Digest() };
}

tl::expected<void, ApplyError>
ConfigController::Apply(const ObjectDelta& aDelta, const ConfigSource& aSource)
{
  const std::lock_guard applyLock(mApplyMutex);
  SnapshotPtr snapshot;
  tl::expected<std::vector<ObjectKey>, ApplyError> changed;
  {
    const std::lock_guard lock(mMutex);
    changed = mObjects.Apply(aDelta);
    if (changed) {
      snapshot = mBuilder.Build(mObjects, *changed, mDirectory);
      mCurrent = snapshot;
    }
  }
  if (!changed) {
    LogRejected(aDelta, changed.error(), aSource);
    return tl::make_unexpected(changed.error());
  }
  NotifyListeners(snapshot);
  mMetrics.ConfigRevision().Set(static_cast<double>(snapshot->mRevision));
  if (!changed->empty()) {
    LogInForce(*snapshot, changed->size(), aSource);
    Announce(snapshot->mRevision,
             std::string_view(aSource.mKind) == "peer" ? kForwardFanout
                                                       : kSourceFanout);
  }
  return {};
}

void
ConfigController::LogInForce(const Snapshot& aSnapshot,
                             std::size_t aChanges,
                             const ConfigSource& aSource) const
{
  const auto age = Store().mSinceLastAnswer;
  LogLine(LogLevel::kInfo, "configuration_in_force")
    .With("revision", static_cast<std::int64_t>(aSnapshot.mRevision))
    .With("source", aSource.mKind)
    .With("peer", aSource.mPeer)
    .With("changes", static_cast<std::int64_t>(aChanges))
    .With("rejected", static_cast<std::int64_t>(aSnapshot.mRejections.size()))
    .With("store_answer_age_ms", age ? age->count() : kNoReplyYetMs);
}

// Stale deltas are normal, as several peers may send the same one; only a gap
// is logged.
void
ConfigController::LogRejected(const ObjectDelta& aDelta,
                              ApplyError aError,
                              const ConfigSource& aSource)
{
  mMetrics.CountRejectedDelta(aError);
  if (aError == ApplyError::kStale) {
    return;
  }
  LogLine(LogLevel::kWarning, "configuration_delta_refused")
    .With("reason", ToText(aError))
    .With("source", aSource.mKind)
    .With("peer", aSource.mPeer)
    .With("from", static_cast<std::int64_t>(aDelta.mFrom))
    .With("to", static_cast<std::int64_t>(aDelta.mTo))
    .With("revision", static_cast<std::int64_t>(Own().mRevision));
}

StoreStatus
ConfigController::Store() const
{
  StoreStatus status{ .mCursor = mReadRevision };
  const auto answered = mLastStoreReplyAt.load();
  if (answered != TimePoint{}) {
    status.mSinceLastAnswer =
      std::chrono::duration_cast<Millis>(Now() - answered);
  }
  return status;
}

void
ConfigController::NotifyListeners(const SnapshotPtr& aSnapshot)
{
  for (const auto& listener : mListeners) {
    listener(aSnapshot);
  }
}

void
ConfigController::SetDirectory(std::vector<BoxRecord> aRecords)
{
  const std::lock_guard applyLock(mApplyMutex);
  SnapshotPtr snapshot;
  {
    const std::lock_guard lock(mMutex);
    mDirectory = std::move(aRecords);
    snapshot = mBuilder.Build(mObjects, {}, mDirectory);
    mCurrent = snapshot;
  }
  NotifyListeners(snapshot);
}

void
ConfigController::SetPlatformReachable(bool aReachable,
                                       const std::string& aDetail)
{
  if (mPlatformReachable.exchange(aReachable) != aReachable) {
    LogLine(aReachable ? LogLevel::kInfo : LogLevel::kWarning,
            aReachable ? "platform_reachable" : "platform_away")
      .With("address", mSettings.mPlatformAddress)
      .With("detail", aDetail);
  }
}

bool
ConfigController::IsFirstWatcher() const
{
  const auto place = Place();
  return place && place->mRank == 0;
}

std::optional<WatchPosition>
ConfigController::Place() const
{
  const auto snapshot = Current();
  if (!snapshot || snapshot->FindBox(mSettings.mBox) == nullptr) {
    return WatchPosition{}; // this box watches until it knows the fleet
  }
  std::vector<BoxName> zoneBoxes;
  for (const auto& box : mPeers.mLiveBoxes()) {
    const auto* spec = snapshot->FindBox(box);
    if (spec != nullptr && spec->mZone == mSettings.mZone) {
      zoneBoxes.push_back(box);
    }
  }
  const auto owners = RendezvousOwners(
    "watch/" + mSettings.mZone.Value(), zoneBoxes, kWatchersPerZone);
  const auto own = std::find(owners.begin(), owners.end(), mSettings.mBox);
  if (own == owners.end()) {
    return std::nullopt;
  }
  return WatchPosition{ .mRank = static_cast<std::size_t>(own - owners.begin()),
                        .mCount = owners.size() };
}

// At the first start of the whole system every box would query the platform
// until it has a configuration. Once the boxes know each other, only watchers
// do.
void
ConfigController::WaitForPeers()
{
  const auto until = Now() + kFirstStartWait;
  const auto known = [this] {
    const auto snapshot = Current();
    return snapshot &&
           (snapshot->mRevision != 0 || snapshot->mBoxes.size() > 1);
  };
  while (!mStop && Now() < until && !known()) {
    Sleep(kPeerCheckInterval);
  }
  Sleep(kPeerCheckInterval); // records of more boxes may still arrive
}

void
ConfigController::Sleep(Millis aTime)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, aTime, [this] { return mStop.load(); });
}

void
ConfigController::Run()
{
  auto nextFallback = Now();
  if (mSettings.mRegistration.mFirstStart) {
    WaitForPeers();
    nextFallback = Now() + kFirstStartFallbackWait;
  }
  while (!mStop) {
    if (IsWatcher() || (Now() >= nextFallback && !HasRecentPeerRevision())) {
      ReadPlatform();
      nextFallback = Now() + Jittered(kFallbackWait);
    } else {
      Sleep(kRoleCheckInterval);
    }
  }
}

bool
ConfigController::HasRecentPeerRevision() const
{
  return Own().mRevision != 0 &&
         Now() < mLastPeerRevisionAt.load() + kPeerRevisionMaxAge;
}

ObjectClientOptions
ConfigController::ClientOptions()
{
  auto options = StoreClientOptions(mSettings, "configuration", kCallTimeout);
  options.mRepeatWatches = false;
  options.mOnReusedReadFailed = [this,
                                 log = std::move(options.mOnReusedReadFailed)](
                                  Millis aWaited, const std::string& aDetail) {
    mConnectionLost = true;
    log(aWaited, aDetail);
  };
  return options;
}

// After a failed watch the whole configuration is read. A store that fails may
// before have answered watches without changes that it had; the cursor is then
// past these changes, and a watch from there would never report them.
void
ConfigController::ReadPlatform()
{
  const auto own = Own().mRevision;
  const auto from = mListNext ? std::nullopt : mCursor.From(own);
  const auto place = Place();
  const auto wait = place ? mWatchSchedule.NextWait(*place) : Millis(0);
  mMetrics.PlatformCalls().Increment();
  auto delta = from ? mClient.WatchConfiguration(*from, wait)
                    : mClient.ListConfiguration();
  // The platform no longer has such old changes, or the connection ended.
  const bool connectionLost = std::exchange(mConnectionLost, false);
  const bool lost =
    !delta && from &&
    (connectionLost || delta.error().mKind == StoreErrorKind::kConflict);
  if (lost && !mStop) {
    delta = mClient.ListConfiguration();
  }
  mListNext = !delta;
  if (mStop) {
    return; // the call was aborted; the platform may be reachable
  }
  SetPlatformReachable(delta.has_value(), delta ? "" : delta.error().mDetail);
  if (!delta) {
    QuerySeeds();
    Sleep(Jittered(kRetryWait));
    return;
  }
  ApplyStoreDelta(StoreCursor::RebasedOn(own, std::move(*delta)));
}

void
ConfigController::ApplyStoreDelta(const ObjectDelta& aDelta)
{
  mLastStoreReplyAt = Now();
  mOnUnreadable(aDelta.mUnreadable);
  tl::expected<void, ApplyError> result;
  if (!aDelta.mObjects.empty() || aDelta.mFull) {
    mWatchSchedule.OnChange();
    result = Apply(aDelta, { .mKind = "platform" });
  }
  mCursor.OnRead(aDelta, result);
  const bool moved = mReadRevision.exchange(mCursor.Read()) != mCursor.Read();
  const bool unconfigured = aDelta.mTo == 0;
  if (aDelta.mFull && (unconfigured || !moved)) {
    Sleep(kRetryWait); // an immediate retry would get the same answer
  }
}

// A box that starts while the platform is unreachable takes the newest
// configuration that any of its seeds has.
void
ConfigController::QuerySeeds()
{
  if (Own().mRevision != 0) {
    return;
  }
  for (const auto& seed : SeedAddresses(mSettings)) {
    wire::Envelope request;
    request.mutable_delta_request()->set_from(Own().mRevision);
    const auto reply =
      mTransport.Call(seed, std::move(request), kAnnounceTimeout);
    if (reply && reply->has_delta()) {
      static_cast<void>(
        Apply(DecodeDelta(reply->delta()), { .mKind = "seed", .mPeer = seed }));
    }
  }
}

void
ConfigController::OnPeerRevision(const PeerRevision& aPeer)
{
  mLastPeerRevisionAt = Now();
  const auto own = Own();
  if (aPeer.mRevision == own.mRevision && aPeer.mDigest != own.mDigest &&
      aPeer.mDigest != 0) {
    LogLine(LogLevel::kError, "configuration_digest_differs")
      .With("peer", aPeer.mAddress)
      .With("revision", static_cast<std::int64_t>(own.mRevision));
  }
  if (aPeer.mRevision > own.mRevision) {
    {
      const std::lock_guard lock(mMutex);
      mCatchUp.OnAnnounced(aPeer.mAddress, aPeer.mRevision);
    }
    RequestDeltas();
  }
}

void
ConfigController::RequestDeltas()
{
  std::vector<std::string> peers;
  {
    const std::lock_guard lock(mMutex);
    peers = mCatchUp.Next(mObjects.Revision());
  }
  for (const auto& peer : peers) {
    RequestDelta(peer);
  }
}

void
ConfigController::OnDeltaRequestEnded(const std::string& aAddress,
                                      bool aAnswered)
{
  {
    const std::lock_guard lock(mMutex);
    mCatchUp.OnEnded(aAddress, aAnswered, mObjects.Revision());
  }
  RequestDeltas();
}

void
ConfigController::RequestDelta(const std::string& aAddress)
{
  wire::Envelope request;
  request.mutable_delta_request()->set_from(Own().mRevision);
  mTransport.Send(aAddress,
                  std::move(request),
                  kDeltaTimeout,
                  [this, aAddress](const PeerResult& aResult) {
                    const auto apply = [this, aAddress, result = aResult] {
                      ApplyPeerDelta(aAddress, *result);
                    };
                    const bool answered = aResult && aResult->has_delta();
                    if (!answered || !mWorker.Post(apply)) {
                      OnDeltaRequestEnded(aAddress, false);
                    }
                  });
}

void
ConfigController::ApplyPeerDelta(const std::string& aAddress,
                                 const wire::Envelope& aAnswer)
{
  static_cast<void>(Apply(DecodeDelta(aAnswer.delta()),
                          { .mKind = "peer", .mPeer = aAddress }));
  OnDeltaRequestEnded(aAddress, true);
}

wire::Envelope
ConfigController::OnDeltaRequest(const wire::DeltaRequest& aRequest) const
{
  ObjectDelta delta;
  {
    const std::lock_guard lock(mMutex);
    delta = mObjects.Since(aRequest.from());
  }
  wire::Envelope envelope;
  *envelope.mutable_delta() = EncodeDelta(delta);
  return envelope;
}

void
ConfigController::Announce(std::uint64_t aRevision, const GossipFanout& aFanout)
{
  wire::Envelope request;
  request.mutable_announce()->set_revision(aRevision);
  // Sent as a request, so that the transport sends it again if it was lost on
  // an unresponsive link. After any other loss the peer learns the revision
  // from the next probes.
  for (const auto& peer : mPeers.mSpreadPeers(aFanout)) {
    mTransport.Send(peer.mControlAddress,
                    request,
                    kAnnounceTimeout,
                    [](const PeerResult&) {});
  }
}

void
ConfigController::OnAnnounce(const wire::Envelope& aRequest)
{
  const auto snapshot = Current();
  const auto* from =
    snapshot ? snapshot->FindBox(BoxName(aRequest.from_box())) : nullptr;
  if (from != nullptr) {
    OnPeerRevision({ .mAddress = from->mControlAddress,
                     .mRevision = aRequest.announce().revision() });
  }
}

} // namespace porttiller
