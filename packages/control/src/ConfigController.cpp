#include "porttiller/control/ConfigController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/control/StoreClient.h"
#include "porttiller/core/Rendezvous.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

// Of the time that a change has to be in force: a watcher of the zone comes
// back in every half of it, and gives up a silent connection after a quarter
// more. The last quarter is for the way to the other boxes.
constexpr int kWatchStepPart = 2;
// At the very first start of the whole system a box learns from the others who
// watches, before it asks the platform itself.
constexpr Millis kFirstStartWait{ 3000 };
constexpr Millis kMeetCheck{ 500 };
// A box that is no watcher then waits so long for what watchers announce.
constexpr Millis kFirstFallback{ 2000 };
constexpr Millis kCallTimeout{ 1000 };
constexpr Millis kRetryWait{ 500 };
// A node that is no watcher looks at the platform this rarely, in case no
// peer reaches it.
constexpr Millis kFallbackWait{ 30'000 };
// Not while peers tell it their revisions, as each of its neighbours does.
constexpr Millis kPeersHeard{ 5000 };
constexpr Millis kRoleCheck{ 1000 };
constexpr Millis kPullTimeout{ 1000 };
constexpr Millis kAnnounceTimeout{ 1000 };
constexpr std::size_t kWatchersPerZone = 3;
// Who reads the platform tells its zone, and one box of each other in case its
// watchers cannot; who was told tells its zone.
constexpr SpreadOptions kFirstHand{ .mOwnZone = 4, .mPerOtherZone = 1 };
constexpr SpreadOptions kOnwards{ .mOwnZone = 4 };
constexpr Millis::rep kNoAnswerYet = -1; // in log lines

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
  , mTurns({ .mStep = aSettings.mTiming.mApply / kWatchStepPart })
  , mClient(StoreClientOptions(aSettings, "configuration", kCallTimeout))
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
      Switch(snapshot);
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
    LogRefused(aDelta, changed.error(), aSource);
    return tl::make_unexpected(changed.error());
  }
  Switch(snapshot);
  mMetrics.ConfigRevision().Set(static_cast<double>(snapshot->mRevision));
  if (!changed->empty()) {
    LogInForce(*snapshot, changed->size(), aSource);
    Announce(snapshot->mRevision,
             std::string_view(aSource.mKind) == "peer" ? kOnwards : kFirstHand);
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
    .With("store_answer_age_ms", age ? age->count() : kNoAnswerYet);
}

// What peers send twice is stale and usual: only a gap has a line.
void
ConfigController::LogRefused(const ObjectDelta& aDelta,
                             ApplyError aError,
                             const ConfigSource& aSource)
{
  mMetrics.CountRefusedDelta(aError);
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

StoreKnowledge
ConfigController::Store() const
{
  StoreKnowledge knowledge{ .mCursor = mRead };
  const auto answered = mStoreAnswered.load();
  if (answered != TimePoint{}) {
    knowledge.mSinceLastAnswer =
      std::chrono::duration_cast<Millis>(Now() - answered);
  }
  return knowledge;
}

void
ConfigController::Switch(const SnapshotPtr& aSnapshot)
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
  Switch(snapshot);
}

void
ConfigController::NotePlatform(bool aReachable, const std::string& aDetail)
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

std::optional<WatchPlace>
ConfigController::Place() const
{
  const auto snapshot = Current();
  if (!snapshot || snapshot->FindBox(mSettings.mBox) == nullptr) {
    return WatchPlace{}; // as long as nobody else is known
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
  return WatchPlace{ .mRank = static_cast<std::size_t>(own - owners.begin()),
                     .mCount = owners.size() };
}

// At the very first start of the whole system every box would ask the platform
// until it is configured. Once they know of each other, the watchers do.
void
ConfigController::MeetOthers()
{
  const auto until = Now() + kFirstStartWait;
  const auto known = [this] {
    const auto snapshot = Current();
    return snapshot &&
           (snapshot->mRevision != 0 || snapshot->mBoxes.size() > 1);
  };
  while (!mStop && Now() < until && !known()) {
    Sleep(kMeetCheck);
  }
  Sleep(kMeetCheck); // others are on their way
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
    MeetOthers();
    nextFallback = Now() + kFirstFallback;
  }
  while (!mStop) {
    if (IsWatcher() || (Now() >= nextFallback && !HeardPeers())) {
      FollowPlatform();
      nextFallback = Now() + Jittered(kFallbackWait);
    } else {
      Sleep(kRoleCheck);
    }
  }
}

bool
ConfigController::HeardPeers() const
{
  return Own().mRevision != 0 && Now() < mHeardPeer.load() + kPeersHeard;
}

void
ConfigController::FollowPlatform()
{
  const auto own = Own().mRevision;
  const auto from = mCursor.From(own);
  const auto place = Place();
  const auto wait = place ? mTurns.NextWait(*place) : Millis(0);
  mMetrics.PlatformCalls().Increment();
  auto delta = from ? mClient.WatchConfiguration(*from, wait)
                    : mClient.ListConfiguration();
  const bool lost = !delta && delta.error().mKind == StoreErrorKind::kConflict;
  if (lost) {
    delta =
      mClient
        .ListConfiguration(); // the platform no longer knows changes so old
  }
  if (mStop) {
    return; // the call was aborted: that says nothing of the platform
  }
  NotePlatform(delta.has_value(), delta ? "" : delta.error().mDetail);
  if (!delta) {
    AskSeeds();
    Sleep(Jittered(kRetryWait));
    return;
  }
  TakeFromStore(StoreCursor::FollowingOn(own, std::move(*delta)));
}

void
ConfigController::TakeFromStore(const ObjectDelta& aDelta)
{
  mStoreAnswered = Now();
  mOnUnreadable(aDelta.mUnreadable);
  tl::expected<void, ApplyError> result;
  if (!aDelta.mObjects.empty() || aDelta.mFull) {
    mTurns.OnChange();
    result = Apply(aDelta, { .mKind = "platform" });
  }
  mCursor.OnRead(aDelta, result);
  const bool moved = mRead.exchange(mCursor.Read()) != mCursor.Read();
  const bool unconfigured = aDelta.mTo == 0;
  if (aDelta.mFull && (unconfigured || !moved)) {
    Sleep(kRetryWait); // the next answer would be the same
  }
}

// A box that starts while the platform is away learns from its seeds, and
// takes the newest that any of them has.
void
ConfigController::AskSeeds()
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
  mHeardPeer = Now();
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
      mCatchUp.OnHeard(aPeer.mAddress, aPeer.mRevision);
    }
    AskPeers();
  }
}

void
ConfigController::AskPeers()
{
  std::vector<std::string> peers;
  {
    const std::lock_guard lock(mMutex);
    peers = mCatchUp.Next(mObjects.Revision());
  }
  for (const auto& peer : peers) {
    Pull(peer);
  }
}

void
ConfigController::EndPull(const std::string& aAddress, bool aAnswered)
{
  {
    const std::lock_guard lock(mMutex);
    mCatchUp.OnEnded(aAddress, aAnswered, mObjects.Revision());
  }
  AskPeers();
}

void
ConfigController::Pull(const std::string& aAddress)
{
  wire::Envelope request;
  request.mutable_delta_request()->set_from(Own().mRevision);
  mTransport.Send(aAddress,
                  std::move(request),
                  kPullTimeout,
                  [this, aAddress](const PeerResult& aResult) {
                    const auto take = [this, aAddress, result = aResult] {
                      TakeFromPeer(aAddress, *result);
                    };
                    const bool answered = aResult && aResult->has_delta();
                    if (!answered || !mWorker.Post(take)) {
                      EndPull(aAddress, false);
                    }
                  });
}

void
ConfigController::TakeFromPeer(const std::string& aAddress,
                               const wire::Envelope& aAnswer)
{
  static_cast<void>(Apply(DecodeDelta(aAnswer.delta()),
                          { .mKind = "peer", .mPeer = aAddress }));
  EndPull(aAddress, true);
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
ConfigController::Announce(std::uint64_t aRevision,
                           const SpreadOptions& aSpread)
{
  wire::Envelope request;
  request.mutable_announce()->set_revision(aRevision);
  // Asked for a reply, so that one that a silent link loses is sent again. Any
  // other that is lost is made up for by the next probes.
  for (const auto& peer : mPeers.mSpreadPeers(aSpread)) {
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
