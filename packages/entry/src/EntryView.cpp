#include "porttiller/entry/EntryView.h"

#include "porttiller/hop/Random.h"

#include <algorithm>
#include <functional>

namespace porttiller {

namespace {

// Bounds of the time for which a server or box is avoided.
constexpr Millis kMinAvoid{ 200 };
// After the first failure; doubles with each consecutive one.
constexpr Millis kFirstPathAvoid{ 800 };
constexpr Millis kMaxAvoid{ 5000 };
constexpr int kMaxAvoidDoublings = 5;
// Weight of the latest answer in the moving average of a service's error rate.
constexpr double kErrorRateSmoothing = 0.1;
// For 4,900 routes, spread over the shards, with room for replaced routes,
// which are never removed.
constexpr std::size_t kMaxRoutesInShard = 1000;

// For servers that are not identified by their start.
constexpr Millis kLeavingMemory{ 60'000 };

// The eligibility of a server after a rejection; null when the rejection does
// not affect the next request.
std::optional<Eligibility>
EligibilityAfter(RejectReason aRejectReason)
{
  switch (aRejectReason) {
    case RejectReason::kLeaving:
    case RejectReason::kEjected:
    case RejectReason::kNoServer:
      return Eligibility::kClosed;
    case RejectReason::kOverloaded:
    case RejectReason::kServerBusy:
    case RejectReason::kUnreachable:
      return Eligibility::kAvoid;
    default:
      return std::nullopt;
  }
}

// The eligibility of a server that is known as demoted.
Eligibility
OfDemoted(const AttemptPlan& aPlan, bool aSilent)
{
  if (aPlan.LastResort()) {
    return aPlan.PrefersSilent() && !aSilent ? Eligibility::kAvoid
                                             : Eligibility::kOpen;
  }
  return aPlan.AsksDemoted() ? Eligibility::kAvoid : Eligibility::kDemoted;
}

// Boxes that learned of a limit at the same time must not return together.
TimePoint
TurnAfter(const LimitNote& aLimit, TimePoint aNow)
{
  constexpr std::uint64_t kSteps = 1000;
  const auto interval = Micros(aLimit.mInterval);
  const auto step = static_cast<Micros::rep>(Random() % (kSteps + 1));
  return aNow + interval / 2 +
         interval * step / static_cast<Micros::rep>(kSteps);
}

// Decays linearly to zero within one second.
double
DecayedLoad(double aLoad, Micros aAge)
{
  const double age = std::chrono::duration<double>(aAge).count();
  return aLoad * std::clamp(1.0 - age, 0.0, 1.0);
}

} // namespace

EntryView::EntryView(BoxName aBox,
                     AvailabilityZone aZone,
                     BalancerOptions aOptions)
  : mBox(std::move(aBox))
  , mZone(std::move(aZone))
  , mOptions(aOptions)
{
}

EntryView::ServiceShard&
EntryView::ShardOf(const ServiceName& aService) const
{
  return mServices.at(std::hash<std::string>{}(aService.Value()) % kShards);
}

// The view of the current incarnation of a server. Resets the view when aServer
// is a newer incarnation; null when it is an older one. The caller holds the
// lock of aShard.
EntryView::ServerView*
EntryView::ViewOf(ServiceShard& aShard, const ServerIncarnation& aServer)
{
  auto& view = aShard.mServers[aServer.Id()];
  if (aServer.StartMs() < view.mStartMs) {
    return nullptr;
  }
  if (aServer.StartMs() > view.mStartMs) {
    view = { .mStartMs = aServer.StartMs() };
  }
  return &view;
}

EntryView::BoxShard&
EntryView::ShardOf(const BoxName& aBox) const
{
  return mBoxes.at(std::hash<std::string>{}(aBox.Value()) % kShards);
}

// Computed once per snapshot, as it is the same for all services.
SubsetEntry
EntryView::OwnSubsetEntry(const Snapshot& aSnapshot)
{
  const std::lock_guard lock(mSubsetEntryMutex);
  if (aSnapshot.mSerial != 0 && aSnapshot.mSerial == mSubsetEntrySerial) {
    return mSubsetEntry;
  }
  SubsetEntry entry{ .mEntries = 0 };
  const auto own = RingPosition(mBox.Value());
  for (const auto& [name, box] : aSnapshot.mBoxes) {
    if (box.mZone == mZone) {
      ++entry.mEntries;
      entry.mRank += RingPosition(name.Value()) < own ? 1 : 0;
    }
  }
  mSubsetEntry = entry;
  mSubsetEntrySerial = aSnapshot.mSerial;
  return entry;
}

EntryView::ServerOrderPtr
EntryView::MakeOrder(const Snapshot& aSnapshot, const ServiceEntry& aService)
{
  std::vector<SubsetServer> servers;
  std::vector<ResolvedServer> resolvedServers;
  servers.reserve(aService.mServers.size());
  resolvedServers.reserve(aService.mServers.size());
  for (const auto& server : aService.mServers) {
    ResolvedServer resolved{ .mServer = &server,
                             .mBox = aSnapshot.FindBox(server.mBox) };
    resolved.mSameZone =
      resolved.mBox != nullptr && resolved.mBox->mZone == mZone;
    {
      auto& shard = ShardOf(server.mService);
      const std::lock_guard lock(shard.mMutex);
      ViewOf(shard, server.Incarnation());
      resolved.mView = &shard.mServers[server.mName];
    }
    {
      auto& shard = ShardOf(server.mBox);
      const std::lock_guard lock(shard.mMutex);
      resolved.mBoxView = &shard.mBoxes[server.mBox];
    }
    servers.push_back({ .mPlace = RingPosition(server.mName.Value()),
                        .mSameZone = resolved.mSameZone });
    resolvedServers.push_back(resolved);
  }
  const auto subset = ChooseSubset(servers, OwnSubsetEntry(aSnapshot));
  auto order = std::make_shared<ServerOrder>();
  order->mSerial = aSnapshot.mSerial;
  order->mSubsetSize = subset.mSize;
  order->mResolvedServers.reserve(resolvedServers.size());
  for (const auto index : subset.mOrder) {
    order->mResolvedServers.push_back(resolvedServers[index]);
  }
  return order;
}

EntryView::ServerOrderPtr
EntryView::OrderOf(const Snapshot& aSnapshot, const ServiceEntry& aService)
{
  const auto& name = aService.mSpec.mName;
  auto& shard = ShardOf(name);
  {
    const std::lock_guard lock(shard.mMutex);
    const auto it = shard.mOrders.find(name);
    if (it != shard.mOrders.end() && aSnapshot.mSerial != 0 &&
        it->second->mSerial == aSnapshot.mSerial) {
      return it->second;
    }
  }
  auto order = MakeOrder(aSnapshot, aService);
  const std::lock_guard lock(shard.mMutex);
  shard.mOrders[name] = order;
  return order;
}

bool
EntryView::PathAvoided(const ResolvedServer& aResolved, TimePoint aNow) const
{
  const auto& shard = ShardOf(aResolved.mServer->mBox);
  const std::lock_guard lock(shard.mMutex);
  return !aResolved.mBoxView->mUsable || aNow < aResolved.mBoxView->mAvoidUntil;
}

// The caller holds the lock of the service's shard.
Candidate
EntryView::MakeCandidate(const ResolvedServer& aResolved,
                         const AttemptPlan& aPlan,
                         const ChoiceConstraints& aConstraints,
                         TimePoint aNow) const
{
  Candidate candidate{ .mSlots = aResolved.mServer->mSlots };
  if (aResolved.mBox == nullptr || !aPlan.MayUse(aResolved.mServer->mName)) {
    candidate.mEligibility = Eligibility::kExcluded;
    return candidate;
  }
  candidate.mSameZone = aResolved.mSameZone;
  if (aResolved.mBox->mState == BoxState::kLeaving) {
    candidate.mEligibility = Eligibility::kClosed;
  } else if (PathAvoided(aResolved, aNow)) {
    candidate.mEligibility = Eligibility::kUnreachable;
  }
  const auto& view = *aResolved.mView;
  candidate.mInFlight = view.mInFlight;
  candidate.mReportedLoad = DecayedLoad(view.mLoad, aNow - view.mLoadAt);
  if (SaysLeaving(view, aNow)) {
    candidate.mEligibility = Eligibility::kExcluded;
    return candidate;
  }
  // A hedge would take the place of a request that has no answer yet.
  const bool due = aNow >= view.mNextTurn && !aConstraints.mOpenOnly;
  if (view.mDemand.mLimit && !due && !aPlan.LastResort()) {
    candidate.mEligibility =
      std::max(candidate.mEligibility, Eligibility::kLimited);
  }
  const bool trial = aConstraints.mCanFailOver && aNow >= view.mNoTrialUntil;
  candidate.mTrialDue = trial && aNow < view.mDemotedUntil;
  if (!trial && aNow < view.mDemotedUntil) {
    candidate.mEligibility =
      std::max(candidate.mEligibility, OfDemoted(aPlan, view.mSilent));
  }
  if (aNow < view.mEligibilityUntil) {
    candidate.mEligibility =
      std::max(candidate.mEligibility, view.mEligibility);
  }
  return candidate;
}

void
EntryView::AddCandidates(std::vector<Candidate>& aCandidates,
                         const ServerOrder& aOrder,
                         std::size_t aMaxCount,
                         const AttemptPlan& aPlan,
                         const ChoiceConstraints& aConstraints,
                         TimePoint aNow) const
{
  const auto begin = aCandidates.size();
  const auto end = std::min(aOrder.mResolvedServers.size(), begin + aMaxCount);
  if (begin == end) {
    return;
  }
  auto& shard = ShardOf(aOrder.mResolvedServers[begin].mServer->mService);
  const std::lock_guard lock(shard.mMutex);
  for (auto i = begin; i < end; ++i) {
    aCandidates.push_back(
      MakeCandidate(aOrder.mResolvedServers[i], aPlan, aConstraints, aNow));
  }
}

// Starts with the subset. While none of the candidates is open, adds as many
// servers again, so that an outage of the whole subset leaves the others
// usable.
Choice
EntryView::Choose(const Snapshot& aSnapshot,
                  const ServiceEntry& aService,
                  const AttemptPlan& aPlan,
                  const ChoiceConstraints& aConstraints,
                  TimePoint aNow)
{
  const auto order = OrderOf(aSnapshot, aService);
  auto options = mOptions;
  if (aConstraints.mLargeResponses) {
    options.mZonePenalty = options.mLargeResponseZonePenalty;
  }
  std::vector<Candidate> candidates;
  std::optional<std::size_t> chosen;
  bool open = false;
  do {
    AddCandidates(
      candidates, *order, order->mSubsetSize, aPlan, aConstraints, aNow);
    chosen = ChooseTrial(candidates, Random());
    if (!chosen) {
      chosen = ChooseServer(candidates, options, Random(), Random());
    }
    open = chosen && candidates[*chosen].mEligibility == Eligibility::kOpen;
  } while (!open && candidates.size() < order->mResolvedServers.size());
  if (aConstraints.mOpenOnly && !open) {
    return {};
  }
  const bool demotedLeft =
    std::any_of(candidates.begin(), candidates.end(), [](const auto& aEach) {
      return aEach.mEligibility == Eligibility::kDemoted ||
             aEach.mEligibility == Eligibility::kLimited;
    });
  if (!chosen && !demotedLeft && aPlan.Attempts() == 0) {
    // Every server is unusable by this view, which may be outdated: try one,
    // and let its home decide.
    for (auto& candidate : candidates) {
      if (candidate.mEligibility != Eligibility::kExcluded) {
        candidate.mEligibility =
          std::min(candidate.mEligibility, Eligibility::kAvoid);
      }
    }
    chosen = ChooseServer(candidates, options, Random(), Random());
  }
  return { .mServer =
             chosen ? order->mResolvedServers[*chosen].mServer : nullptr,
           .mDemotedLeft = demotedLeft };
}

void
EntryView::OnSent(const BackendServerSpec& aServer)
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  if (auto* view = ViewOf(shard, aServer.Incarnation())) {
    ++view->mInFlight;
    if (const auto& limit = view->mDemand.mLimit) {
      view->mNextTurn = TurnAfter(*limit, Now());
    }
  }
}

void
EntryView::OnEnded(const BackendServerSpec& aServer)
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  if (auto* view = ViewOf(shard, aServer.Incarnation())) {
    --view->mInFlight;
  }
}

void
EntryView::OnLoad(const BackendServerSpec& aServer,
                  double aLoad,
                  TimePoint aNow)
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  if (auto* view = ViewOf(shard, aServer.Incarnation())) {
    view->mLoad = aLoad;
    view->mLoadAt = aNow;
  }
}

void
EntryView::OnRejected(const BackendServerSpec& aServer,
                      RejectReason aRejectReason,
                      Millis aRetryAfter,
                      bool aCanFailOver,
                      TimePoint aNow,
                      bool aSilent)
{
  const auto eligibility = EligibilityAfter(aRejectReason);
  if (!eligibility && aRejectReason != RejectReason::kDemoted) {
    return;
  }
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  auto* view = ViewOf(shard, aServer.Incarnation());
  if (view == nullptr) {
    return;
  }
  const auto until = aNow + std::clamp(aRetryAfter, kMinAvoid, kMaxAvoid);
  if (!eligibility) {
    view->mDemotedUntil = until;
    view->mSilent = aSilent;
    if (aCanFailOver) {
      view->mNoTrialUntil = until; // its home has enough trial requests
    }
    return;
  }
  view->mEligibility = *eligibility;
  view->mEligibilityUntil = until;
}

void
EntryView::OnDemand(const BackendServerSpec& aServer,
                    const ServerDemand& aDemand,
                    DemandSource aSource,
                    TimePoint aNow)
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  auto* view = ViewOf(shard, aServer.Incarnation());
  if (view == nullptr) {
    return;
  }
  if (aDemand.mLimit || aSource == DemandSource::kAnswer) {
    TakeLimit(*view, aDemand.mLimit, aNow);
  }
  if (aDemand.mLeaving) {
    TakeLeaving(*view, aNow);
  }
}

void
EntryView::TakeLimit(ServerView& aView,
                     const std::optional<LimitNote>& aLimit,
                     TimePoint aNow)
{
  aView.mDemand.mLimit = aLimit;
  aView.mLimitAt = aNow;
  aView.mNextTurn = aLimit ? TurnAfter(*aLimit, aNow) : TimePoint();
}

void
EntryView::TakeLeaving(ServerView& aView, TimePoint aNow)
{
  aView.mDemand.mLeaving = true;
  aView.mLeavingAt = aNow;
}

// A server without a start time may have started again under its ID; its home
// then sends an update, which may be lost.
bool
EntryView::SaysLeaving(const ServerView& aView, TimePoint aNow)
{
  return aView.mDemand.mLeaving &&
         (aView.mStartMs || aNow < aView.mLeavingAt + kLeavingMemory);
}

std::optional<LimitNote>
EntryView::LimitOf(const BackendServerSpec& aServer, TimePoint aNow) const
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  const auto* view = ViewOf(shard, aServer.Incarnation());
  if (view == nullptr || !view->mDemand.mLimit) {
    return std::nullopt;
  }
  auto limit = *view->mDemand.mLimit;
  limit.mAge = std::chrono::duration_cast<Millis>(aNow - view->mLimitAt);
  return limit;
}

void
EntryView::OnServerUpdate(const ServerStateUpdate& aUpdate, TimePoint aNow)
{
  auto& shard = ShardOf(aUpdate.mService);
  const std::lock_guard lock(shard.mMutex);
  auto* view = ViewOf(shard, aUpdate.mServer);
  if (view == nullptr) {
    return;
  }
  if (aUpdate.mDemand.mLimit) {
    TakeLimit(*view, aUpdate.mDemand.mLimit, aNow);
  } else {
    // A home that was restarted may not know the limit. The next request tells
    // it, and its answer ends the limit here.
    view->mNextTurn = {};
  }
  if (aUpdate.mLeavingEnded) {
    view->mDemand.mLeaving = false;
  }
  if (aUpdate.mDemand.mLeaving) {
    TakeLeaving(*view, aNow);
  }
  if (!aUpdate.mDemoted) {
    view->mDemotedUntil = {};
    view->mNoTrialUntil = {};
    return;
  }
  const auto retryAfter = std::clamp(aUpdate.mRetryAfter, kMinAvoid, kMaxAvoid);
  // The update does not say why the server is demoted.
  view->mSilent = view->mSilent && aNow < view->mDemotedUntil;
  view->mDemotedUntil = aNow + retryAfter;
  // The home needs few trial requests, and all receivers of the update send
  // some: spread them over the retry time.
  const auto span = static_cast<std::uint64_t>(retryAfter.count());
  view->mNoTrialUntil =
    aNow + Millis(static_cast<Millis::rep>(Random() % span));
}

void
EntryView::OnPathFailure(const BoxName& aBox, TimePoint aNow)
{
  auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  auto& view = shard.mBoxes[aBox];
  const int doublings = std::min(view.mFailures, kMaxAvoidDoublings);
  view.mAvoidUntil =
    aNow + std::min(kFirstPathAvoid * (1 << doublings), kMaxAvoid);
  ++view.mFailures;
}

void
EntryView::OnPathSuccess(const BoxName& aBox)
{
  auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  auto& view = shard.mBoxes[aBox];
  view.mFailures = 0;
  view.mAvoidUntil = {};
}

HomeState
EntryView::HomeStateOf(const BoxName& aBox) const
{
  const auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mBoxes.find(aBox);
  return it == shard.mBoxes.end() ? HomeState{} : it->second.mHomeState;
}

void
EntryView::SetHomeState(const BoxName& aBox, const HomeState& aState)
{
  auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  auto& view = shard.mBoxes[aBox];
  if (view.mHomeState.mIncarnation < aState.mIncarnation) {
    // The failures concern the earlier incarnation.
    view = {};
  }
  view.mHomeState = aState;
}

void
EntryView::SetBoxUsable(const BoxName& aBox, bool aUsable)
{
  auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  shard.mBoxes[aBox].mUsable = aUsable;
}

void
EntryView::OnAnswered(const ServiceName& aService, bool aError)
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  auto& errorRate = shard.mErrorRates[aService];
  errorRate += kErrorRateSmoothing * ((aError ? 1.0 : 0.0) - errorRate);
}

double
EntryView::ErrorRate(const ServiceName& aService) const
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mErrorRates.find(aService);
  return it == shard.mErrorRates.end() ? 0.0 : it->second;
}

void
EntryView::OnLatencyP90(const ServiceName& aService,
                        const std::string& aRoute,
                        Micros aLatencyP90)
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const bool known = shard.mLatencyP90s.contains(aRoute);
  if (aLatencyP90 > Micros(0) &&
      (known || shard.mLatencyP90s.size() < kMaxRoutesInShard)) {
    shard.mLatencyP90s[aRoute] = aLatencyP90;
  }
}

Micros
EntryView::HedgeDelay(const ServiceName& aService,
                      const std::string& aRoute,
                      HedgeTiming aTiming) const
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mLatencyP90s.find(aRoute);
  aTiming.mLatencyP90 = it == shard.mLatencyP90s.end() ? Micros(0) : it->second;
  return HedgeDelayOf(aTiming);
}

std::string
EntryView::Dump() const
{
  std::string text;
  for (const auto& shard : mServices) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [name, view] : shard.mServers) {
      text += name.Value() + ": in_flight=" + std::to_string(view.mInFlight) +
              " load=" + std::to_string(view.mLoad) + " standing=" +
              std::to_string(static_cast<int>(view.mEligibility)) + "\n";
    }
  }
  return text;
}

} // namespace porttiller
