#include "porttiller/entry/EntryView.h"

#include "porttiller/hop/Random.h"

#include <algorithm>
#include <functional>

namespace porttiller {

namespace {

constexpr Millis kMinAvoid{ 200 };
// The first time; one that fails again is avoided for longer.
constexpr Millis kPathAvoid{ 800 };
constexpr Millis kMaxAvoid{ 5000 };
constexpr int kMaxAvoidDoublings = 5;
// Of the newest answer in the share of a service's errors.
constexpr double kAnswerWeight = 0.1;
// A second server costs a trip; answers that come sooner are not worth it.
constexpr Micros kMinRaceDelay{ 50'000 };
// Of the time that a request has, while no home has told how long those of its
// route take: callers wait for several times the usual.
constexpr int kRaceUnknownPart = 4;
// Of the target's 4,900 routes, spread over the shards, with room for those
// that are replaced.
constexpr std::size_t kMaxRoutesInShard = 1000;

// How a refusal changes the use of the server; null when it says nothing
// about the next request.
std::optional<Standing>
StandingAfter(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::kLeaving:
    case Refusal::kEjected:
    case Refusal::kNoServer:
      return Standing::kClosed;
    case Refusal::kOverloaded:
    case Refusal::kServerBusy:
    case Refusal::kUnreachable:
      return Standing::kAvoid;
    default:
      return std::nullopt;
  }
}

// Nothing is left of a report after a second.
double
Aged(double aLoad, Micros aAge)
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

// The view of a server's present start. What was learned of an earlier one is
// dropped; null for a start that is not the present one any more. Under the
// shard's lock.
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

// Counted once for each snapshot, as it is the same for all services.
SubsetEntry
EntryView::OwnPlace(const Snapshot& aSnapshot)
{
  const std::lock_guard lock(mOwnPlaceMutex);
  if (aSnapshot.mSerial != 0 && aSnapshot.mSerial == mOwnPlaceSerial) {
    return mOwnPlace;
  }
  SubsetEntry entry{ .mEntries = 0 };
  const auto own = RingPlace(mBox.Value());
  for (const auto& [name, box] : aSnapshot.mBoxes) {
    if (box.mZone == mZone) {
      ++entry.mEntries;
      entry.mRank += RingPlace(name.Value()) < own ? 1 : 0;
    }
  }
  mOwnPlace = entry;
  mOwnPlaceSerial = aSnapshot.mSerial;
  return entry;
}

EntryView::ServerOrderPtr
EntryView::MakeOrder(const Snapshot& aSnapshot, const ServiceEntry& aService)
{
  std::vector<SubsetServer> servers;
  std::vector<Place> places;
  servers.reserve(aService.mServers.size());
  places.reserve(aService.mServers.size());
  for (const auto& server : aService.mServers) {
    Place place{ .mServer = &server, .mBox = aSnapshot.FindBox(server.mBox) };
    place.mSameZone = place.mBox != nullptr && place.mBox->mZone == mZone;
    {
      auto& shard = ShardOf(server.mService);
      const std::lock_guard lock(shard.mMutex);
      ViewOf(shard, server.Incarnation());
      place.mView = &shard.mServers[server.mName];
    }
    {
      auto& shard = ShardOf(server.mBox);
      const std::lock_guard lock(shard.mMutex);
      place.mBoxView = &shard.mBoxes[server.mBox];
    }
    servers.push_back({ .mPlace = RingPlace(server.mName.Value()),
                        .mSameZone = place.mSameZone });
    places.push_back(place);
  }
  const auto subset = ChooseSubset(servers, OwnPlace(aSnapshot));
  auto order = std::make_shared<ServerOrder>();
  order->mSerial = aSnapshot.mSerial;
  order->mSubset = subset.mSize;
  order->mPlaces.reserve(places.size());
  for (const auto index : subset.mOrder) {
    order->mPlaces.push_back(places[index]);
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
EntryView::PathAvoided(const Place& aPlace, TimePoint aNow) const
{
  const auto& shard = ShardOf(aPlace.mServer->mBox);
  const std::lock_guard lock(shard.mMutex);
  return !aPlace.mBoxView->mUsable || aNow < aPlace.mBoxView->mAvoidUntil;
}

// Under the lock of the service's shard.
Candidate
EntryView::MakeCandidate(const Place& aPlace,
                         const AttemptPlan& aPlan,
                         bool aMayFail,
                         TimePoint aNow) const
{
  Candidate candidate{ .mSlots = aPlace.mServer->mSlots };
  if (aPlace.mBox == nullptr || !aPlan.MayUse(aPlace.mServer->mName)) {
    candidate.mStanding = Standing::kTried;
    return candidate;
  }
  candidate.mSameZone = aPlace.mSameZone;
  if (aPlace.mBox->mState == BoxState::kLeaving) {
    candidate.mStanding = Standing::kClosed;
  } else if (PathAvoided(aPlace, aNow)) {
    candidate.mStanding = Standing::kUnreachable;
  }
  const auto& view = *aPlace.mView;
  candidate.mInFlight = view.mInFlight;
  candidate.mReportedLoad = Aged(view.mLoad, aNow - view.mLoadAt);
  const bool trial = aMayFail && aNow >= view.mNoTrialUntil;
  candidate.mTrialDue = trial && aNow < view.mBrokenUntil;
  if (!trial && !aPlan.LastResort() && aNow < view.mBrokenUntil) {
    candidate.mStanding = std::max(candidate.mStanding, Standing::kDemoted);
  }
  if (aNow < view.mStandingUntil) {
    candidate.mStanding = std::max(candidate.mStanding, view.mStanding);
  }
  return candidate;
}

void
EntryView::AddCandidates(std::vector<Candidate>& aCandidates,
                         const ServerOrder& aOrder,
                         std::size_t aMore,
                         const AttemptPlan& aPlan,
                         bool aMayFail,
                         TimePoint aNow) const
{
  const auto begin = aCandidates.size();
  const auto end = std::min(aOrder.mPlaces.size(), begin + aMore);
  if (begin == end) {
    return;
  }
  auto& shard = ShardOf(aOrder.mPlaces[begin].mServer->mService);
  const std::lock_guard lock(shard.mMutex);
  for (auto i = begin; i < end; ++i) {
    aCandidates.push_back(
      MakeCandidate(aOrder.mPlaces[i], aPlan, aMayFail, aNow));
  }
}

// The subset first. While nothing in it is open, as many servers more again
// and again: a fault that takes a whole subset leaves the rest to it.
Choice
EntryView::Choose(const Snapshot& aSnapshot,
                  const ServiceEntry& aService,
                  const AttemptPlan& aPlan,
                  const ChoiceTerms& aTerms,
                  TimePoint aNow)
{
  const auto order = OrderOf(aSnapshot, aService);
  std::vector<Candidate> candidates;
  std::optional<std::size_t> chosen;
  bool open = false;
  do {
    AddCandidates(
      candidates, *order, order->mSubset, aPlan, aTerms.mMayFail, aNow);
    chosen = ChooseTrial(candidates, Random());
    if (!chosen) {
      chosen = ChooseServer(candidates, mOptions, Random(), Random());
    }
    open = chosen && candidates[*chosen].mStanding == Standing::kOpen;
  } while (!open && candidates.size() < order->mPlaces.size());
  if (aTerms.mOpenOnly && !open) {
    return {};
  }
  const bool demotedLeft =
    std::any_of(candidates.begin(), candidates.end(), [](const auto& aEach) {
      return aEach.mStanding == Standing::kDemoted;
    });
  if (!chosen && !demotedLeft && aPlan.Attempts() == 0) {
    // Every hint speaks against every server, and hints age: ask the homes.
    for (auto& candidate : candidates) {
      candidate.mStanding = std::min(candidate.mStanding, Standing::kAvoid);
    }
    chosen = ChooseServer(candidates, mOptions, Random(), Random());
  }
  return { .mServer = chosen ? order->mPlaces[*chosen].mServer : nullptr,
           .mDemotedLeft = demotedLeft };
}

void
EntryView::OnSent(const BackendServerSpec& aServer)
{
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  if (auto* view = ViewOf(shard, aServer.Incarnation())) {
    ++view->mInFlight;
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
EntryView::OnRefused(const BackendServerSpec& aServer,
                     Refusal aRefusal,
                     Millis aRetryAfter,
                     bool aMayFail,
                     TimePoint aNow)
{
  const auto standing = StandingAfter(aRefusal);
  if (!standing && aRefusal != Refusal::kDemoted) {
    return;
  }
  auto& shard = ShardOf(aServer.mService);
  const std::lock_guard lock(shard.mMutex);
  auto* view = ViewOf(shard, aServer.Incarnation());
  if (view == nullptr) {
    return;
  }
  const auto until = aNow + std::clamp(aRetryAfter, kMinAvoid, kMaxAvoid);
  if (!standing) {
    view->mBrokenUntil = until;
    if (aMayFail) {
      view->mNoTrialUntil = until; // it has its trials
    }
    return;
  }
  view->mStanding = *standing;
  view->mStandingUntil = until;
}

void
EntryView::OnNews(const ServerStateUpdate& aNews, TimePoint aNow)
{
  auto& shard = ShardOf(aNews.mService);
  const std::lock_guard lock(shard.mMutex);
  auto* view = ViewOf(shard, aNews.mServer);
  if (view == nullptr) {
    return;
  }
  if (!aNews.mDemoted) {
    view->mBrokenUntil = {};
    view->mNoTrialUntil = {};
    return;
  }
  const auto retryAfter = std::clamp(aNews.mRetryAfter, kMinAvoid, kMaxAvoid);
  view->mBrokenUntil = aNow + retryAfter;
  // Its home needs few trials, and every receiver sends some.
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
  view.mAvoidUntil = aNow + std::min(kPathAvoid * (1 << doublings), kMaxAvoid);
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

HomeLife
EntryView::LifeOf(const BoxName& aBox) const
{
  const auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mBoxes.find(aBox);
  return it == shard.mBoxes.end() ? HomeLife{} : it->second.mLife;
}

void
EntryView::SetLife(const BoxName& aBox, const HomeLife& aLife)
{
  auto& shard = ShardOf(aBox);
  const std::lock_guard lock(shard.mMutex);
  auto& view = shard.mBoxes[aBox];
  if (view.mLife.mIncarnation < aLife.mIncarnation) {
    // What failed was the way to an earlier life.
    view = {};
  }
  view.mLife = aLife;
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
  auto& errors = shard.mErrors[aService];
  errors += kAnswerWeight * ((aError ? 1.0 : 0.0) - errors);
}

double
EntryView::UsualErrors(const ServiceName& aService) const
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mErrors.find(aService);
  return it == shard.mErrors.end() ? 0.0 : it->second;
}

void
EntryView::OnUsualTime(const ServiceName& aService,
                       const std::string& aRoute,
                       Micros aTime)
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const bool known = shard.mUsualTimes.contains(aRoute);
  if (aTime > Micros(0) &&
      (known || shard.mUsualTimes.size() < kMaxRoutesInShard)) {
    shard.mUsualTimes[aRoute] = aTime;
  }
}

Micros
EntryView::RaceDelay(const ServiceName& aService,
                     const std::string& aRoute,
                     Micros aGiven) const
{
  auto& shard = ShardOf(aService);
  const std::lock_guard lock(shard.mMutex);
  const auto it = shard.mUsualTimes.find(aRoute);
  return std::max<Micros>(
    kMinRaceDelay,
    it == shard.mUsualTimes.end() ? aGiven / kRaceUnknownPart : it->second);
}

std::string
EntryView::Dump() const
{
  std::string text;
  for (const auto& shard : mServices) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [name, view] : shard.mServers) {
      text += name.Value() + ": in_flight=" + std::to_string(view.mInFlight) +
              " load=" + std::to_string(view.mLoad) +
              " standing=" + std::to_string(static_cast<int>(view.mStanding)) +
              "\n";
    }
  }
  return text;
}

} // namespace porttiller
