// How EntryView chooses a server from what it knows.
#include "porttiller/entry/EntryView.h"

#include "porttiller/hop/Random.h"

#include <algorithm>

namespace porttiller {

namespace {

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

// Decays linearly to zero within one second.
double
DecayedLoad(double aLoad, Micros aAge)
{
  const double age = std::chrono::duration<double>(aAge).count();
  return aLoad * std::clamp(1.0 - age, 0.0, 1.0);
}

} // namespace

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

} // namespace porttiller
