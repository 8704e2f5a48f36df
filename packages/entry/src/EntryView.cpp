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
