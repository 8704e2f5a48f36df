#include "sim/World.h"

#include <cmath>

namespace porttiller::bench {

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kDeadline{ 1000 };
constexpr Millis kPathPatience{ 150 }; // until a lost request is revoked
constexpr double kBackgroundFailures = 0.001;
constexpr double kSickFailures = 0.5;
constexpr double kSlowFactor = 8.0;
constexpr double kCommonSlowFactor = 4.0;
constexpr double kColdFactor = 5.0;
constexpr Millis kColdTime{ 8000 };
constexpr std::int64_t kFlapMs = 3000;
constexpr std::int64_t kNoiseEveryMs = 4000;
constexpr std::int64_t kNoiseMs = 200;
constexpr double kNoiseFailures = 0.3;
constexpr double kRepeatableShare = 0.6;
constexpr double kCriticalShare = 0.2;
constexpr double kSheddableShare = 0.3;
constexpr int kMaxAttempts = 4;
constexpr double kOverloadFactor = 2.0;
constexpr double kUnboundedQueue = 1e6; // baselines shed nothing

bool
IsPorttiller(const Policy& aPolicy)
{
  return std::holds_alternative<PorttillerPolicy>(aPolicy);
}

SlotQueueOptions
QueueOptions(const Deployment& aDeployment, bool aShed)
{
  SlotQueueOptions options{ .mSlots = aDeployment.mSlots };
  if (!aShed) {
    options.mQueuePerSlot = kUnboundedQueue;
    options.mQueueShare = { 1.0, 1.0, 1.0 };
  }
  return options;
}

// Requests a second that all slots can serve.
double
CapacityRate(const Deployment& aDeployment)
{
  const double meanMs =
    aDeployment.mServiceMedianMs *
    std::exp(aDeployment.mServiceSigma * aDeployment.mServiceSigma / 2);
  return aDeployment.mServers * aDeployment.mSlots * 1000.0 / meanMs;
}

} // namespace

World::World(const Deployment& aDeployment,
             const Scenario& aScenario,
             const RunOptions& aOptions)
  : mDeployment(aDeployment)
  , mScenario(aScenario)
  , mRandom(aOptions.mSeed)
  , mPolicy(MakePolicy(aOptions.mPolicy,
                       aDeployment,
                       aScenario.mKind == FaultKind::kPlatformAway))
  , mWasAside(static_cast<std::size_t>(aDeployment.mServers))
  , mReportedLoad(static_cast<std::size_t>(aDeployment.mServers))
{
  auto* own = std::get_if<PorttillerPolicy>(&mPolicy);
  if (own != nullptr && aOptions.mThreshold) {
    own->SetThreshold(*aOptions.mThreshold);
  }
  for (int i = 0; i < aDeployment.mServers; ++i) {
    mQueues.emplace_back(QueueOptions(aDeployment, own != nullptr));
  }
}

double
World::Uniform()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
World::At(TimePoint aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, mOrder++, std::move(aRun) });
}

RunResult
World::Run()
{
  ArriveNext();
  At(TimePoint(kTick), [this] { Tick(); });
  if (mScenario.mKind == FaultKind::kColdStart) {
    At(kFaultBegins, [this] { RestartCold(); });
  }
  while (!mEvents.empty() && mEvents.top().mAt < kRunEnds) {
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mRun();
  }
  const std::chrono::duration<double> faulty = kFaultEnds - kFaultBegins;
  mResult.mCapacity = CapacityRate(mDeployment) * faulty.count();
  return mResult;
}

void
World::RestartCold()
{
  if (auto* own = std::get_if<PorttillerPolicy>(&mPolicy)) {
    own->OnServerRestart(kSickServer, mNow);
  }
}

void
World::ArriveNext()
{
  double rate = mDeployment.mRatePerServer * mDeployment.mServers;
  if (mScenario.mKind == FaultKind::kOverload && FaultOn()) {
    rate = kOverloadFactor * CapacityRate(mDeployment);
  }
  const double gap = std::exponential_distribution<double>(rate)(mRandom);
  At(mNow + Micros(static_cast<std::int64_t>(gap * 1e6)), [this] {
    Arrive();
    ArriveNext();
  });
}

void
World::Arrive()
{
  const auto servers = static_cast<std::size_t>(mDeployment.mServers);
  Request request;
  request.mEntry = static_cast<int>(
    mRandom() % static_cast<std::uint64_t>(mDeployment.Entries()));
  request.mCallKind = static_cast<int>(mRandom() % kCallKinds);
  request.mRepeatable = Uniform() < kRepeatableShare;
  const double kind = Uniform();
  if (kind < kCriticalShare) {
    request.mPriority = Priority::kCritical;
  } else if (kind > 1.0 - kSheddableShare) {
    request.mPriority = Priority::kSheddable;
  }
  request.mDeadline = mNow + kDeadline;
  request.mTried.resize(servers);
  request.mDemoted.resize(servers);
  ++mResult.mRequests;
  if (FaultOn()) {
    ++mResult.mOffered.at(static_cast<std::size_t>(request.mPriority));
  }
  mBudget.OnFirstAttempt();
  const auto id = mNextTicket++;
  mRequests.emplace(id, std::move(request));
  Dispatch(id);
}

void
World::Dispatch(Ticket aId)
{
  auto& request = mRequests.at(aId);
  std::vector<Candidate> candidates;
  for (int server = 0; server < mDeployment.mServers; ++server) {
    Candidate candidate{ .mSameZone = server == request.mEntry };
    candidate.mReportedLoad = mReportedLoad[static_cast<std::size_t>(server)];
    candidate.mStanding = std::visit(
      [&](const auto& aPolicy) {
        if constexpr (requires { aPolicy.StandingAt(0, 0, mNow); }) {
          return aPolicy.StandingAt(request.mEntry, server, mNow);
        } else {
          return Standing::kOpen;
        }
      },
      mPolicy);
    if (request.mTried[static_cast<std::size_t>(server)]) {
      candidate.mStanding = Standing::kTried;
    }
    candidates.push_back(candidate);
  }
  const BalancerOptions options;
  const auto chosen = ChooseServer(candidates, options, mRandom(), mRandom());
  if (!chosen || request.mAttempts >= kMaxAttempts) {
    const bool anyDemoted =
      std::find(request.mDemoted.begin(), request.mDemoted.end(), true) !=
      request.mDemoted.end();
    if (anyDemoted && !request.mLastResort) {
      request.mLastResort = true;
      request.mAttempts = 0;
      for (std::size_t i = 0; i < request.mTried.size(); ++i) {
        request.mTried[i] = request.mTried[i] && !request.mDemoted[i];
      }
      Dispatch(aId);
      return;
    }
    End(aId, false);
    return;
  }
  const int server = static_cast<int>(*chosen);
  request.mTried[*chosen] = true;
  ++request.mAttempts;
  if (PathCut(request, server)) {
    At(mNow + kPathPatience, [this, aId, server] {
      const auto& lost = mRequests.at(aId);
      const Attempt attempt{ lost.mEntry, server, lost.mRepeatable, false };
      std::visit([&](auto& aPolicy) { aPolicy.OnPathFailure(attempt, mNow); },
                 mPolicy);
      // Only a home can confirm that it was not run.
      if (lost.mRepeatable || IsPorttiller(mPolicy)) {
        Dispatch(aId);
      } else {
        End(aId, false);
      }
    });
    return;
  }
  const auto trip =
    server == request.mEntry ? Micros(0) : mDeployment.mZoneDelay;
  At(mNow + trip, [this, aId, server] { Reach(aId, server); });
}

bool
World::PathCut(const Request& aRequest, int aServer) const
{
  return mScenario.mKind == FaultKind::kPathOneWay && FaultOn() &&
         aServer == kSickServer && aRequest.mEntry == mDeployment.Entries() - 1;
}

void
World::Reach(Ticket aId, int aServer)
{
  auto& request = mRequests.at(aId);
  const Attempt attempt{
    request.mEntry, aServer, request.mRepeatable, request.mLastResort
  };
  if (auto* own = std::get_if<PorttillerPolicy>(&mPolicy)) {
    const auto verdict = own->Gate(attempt, mNow);
    if (verdict != GateVerdict::kAdmit) {
      own->OnRefused(attempt, mNow);
      request.mDemoted[static_cast<std::size_t>(aServer)] =
        verdict == GateVerdict::kDemoted;
      Dispatch(aId);
      return;
    }
  }
  auto& queue = mQueues[static_cast<std::size_t>(aServer)];
  const auto offer =
    queue.Offer(aId, request.mPriority, request.mDeadline, mNow);
  if (offer.mDisplaced) {
    End(*offer.mDisplaced, false);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    Start(aId, aServer);
  } else if (offer.mVerdict == OfferVerdict::kShed) {
    if (mBudget.TryRetry()) {
      Dispatch(aId);
    } else {
      End(aId, false);
    }
  }
}

double
World::FailureRate(int aServer, int aCallKind) const
{
  const bool sick = aServer == kSickServer && FaultOn();
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(mNow - kFaultBegins).count();
  switch (mScenario.mKind) {
    case FaultKind::kGrayErrors:
    case FaultKind::kPlatformAway:
      return sick ? kSickFailures : kBackgroundFailures;
    case FaultKind::kPartialCalls:
      return sick && aCallKind == 0 ? 1.0 : kBackgroundFailures;
    case FaultKind::kFlapping:
      return sick && (sinceMs / kFlapMs) % 2 == 0 ? kSickFailures
                                                  : kBackgroundFailures;
    case FaultKind::kCommonCause:
      return FaultOn() ? kSickFailures : kBackgroundFailures;
    case FaultKind::kNoiseBursts:
      return FaultOn() && aServer == mNoisyServer &&
                 sinceMs % kNoiseEveryMs < kNoiseMs
               ? kNoiseFailures
               : kBackgroundFailures;
    default:
      return kBackgroundFailures;
  }
}

double
World::Slowness(int aServer) const
{
  const bool sick = aServer == kSickServer && FaultOn();
  switch (mScenario.mKind) {
    case FaultKind::kGraySlow:
      return sick ? kSlowFactor : 1.0;
    case FaultKind::kCommonCause:
      return FaultOn() ? kCommonSlowFactor : 1.0;
    case FaultKind::kColdStart:
      return sick && mNow < kFaultBegins + kColdTime ? kColdFactor : 1.0;
    default:
      return 1.0;
  }
}

void
World::Start(Ticket aId, int aServer)
{
  const auto& request = mRequests.at(aId);
  const double ms =
    std::lognormal_distribution<double>(std::log(mDeployment.mServiceMedianMs),
                                        mDeployment.mServiceSigma)(mRandom) *
    Slowness(aServer);
  const Micros time(static_cast<std::int64_t>(ms * 1000.0));
  const bool failed = Uniform() < FailureRate(aServer, request.mCallKind);
  At(mNow + time, [this, aId, aServer, time, failed] {
    Complete(aId, aServer, time, failed);
  });
}

void
World::Complete(Ticket aId, int aServer, Micros aTime, bool aFailed)
{
  const auto request = mRequests.at(aId);
  const Attempt attempt{
    request.mEntry, aServer, request.mRepeatable, request.mLastResort
  };
  const Evidence evidence{ .mFailed = aFailed,
                           .mLatency = aTime,
                           .mClass =
                             static_cast<std::uint32_t>(request.mCallKind) };
  std::visit(
    [&](auto& aPolicy) {
      if constexpr (requires { aPolicy.OnEvidence(attempt, evidence, mNow); }) {
        aPolicy.OnEvidence(attempt, evidence, mNow);
      }
    },
    mPolicy);
  Freed(aServer, aTime);
  auto& queue = mQueues[static_cast<std::size_t>(aServer)];
  mReportedLoad[static_cast<std::size_t>(aServer)] =
    static_cast<double>(queue.Running() + queue.Waiting()) / queue.SlotLimit();
  if (mNow > request.mDeadline) {
    End(aId, false);
  } else if (aFailed) {
    OnFailure(aId);
  } else {
    End(aId, true);
  }
}

void
World::Freed(int aServer, std::optional<Micros> aTime)
{
  auto& queue = mQueues[static_cast<std::size_t>(aServer)];
  const auto freed = queue.Release(aTime, mNow);
  for (const auto ticket : freed.mExpired) {
    End(ticket, false);
  }
  for (const auto ticket : freed.mStart) {
    Start(ticket, aServer);
  }
}

void
World::OnFailure(Ticket aId)
{
  const auto& request = mRequests.at(aId);
  if (request.mRepeatable && mBudget.TryRetry()) {
    Dispatch(aId);
  } else {
    End(aId, false);
  }
}

void
World::End(Ticket aId, bool aGood)
{
  const auto& request = mRequests.at(aId);
  const auto arrived = request.mDeadline - kDeadline;
  if (!aGood) {
    ++mResult.mWrongRequests;
  } else if (arrived >= kFaultBegins && arrived < kFaultEnds) {
    ++mResult.mGood.at(static_cast<std::size_t>(request.mPriority));
  }
  mRequests.erase(aId);
}

bool
World::IsToBlame(int aServer) const
{
  return !mScenario.mNobodyToBlame && aServer == kSickServer &&
         mNow >= kFaultBegins;
}

void
World::CountSetAside()
{
  for (int server = 0; server < mDeployment.mServers; ++server) {
    bool aside = false;
    bool anywhere = false;
    std::visit(
      [&](const auto& aPolicy) {
        if constexpr (requires { aPolicy.SetAside(server); }) {
          aside = aPolicy.SetAside(server);
          anywhere = aside;
        }
        if constexpr (requires { aPolicy.SetAsideAnywhere(server); }) {
          anywhere = aPolicy.SetAsideAnywhere(server);
        }
      },
      mPolicy);
    const auto index = static_cast<std::size_t>(server);
    if (IsToBlame(server)) {
      if (aside && mResult.mDetectionMs < 0.0) {
        mResult.mDetectionMs =
          std::chrono::duration<double, std::milli>(mNow - kFaultBegins)
            .count();
      }
    } else if (anywhere && !mWasAside[index]) {
      ++mResult.mFalseEjections;
    }
    mWasAside[index] = anywhere;
  }
}

void
World::Tick()
{
  std::visit(
    [&](auto& aPolicy) {
      if constexpr (requires { aPolicy.OnTick(mNow, mRandom); }) {
        aPolicy.OnTick(mNow, mRandom);
      }
    },
    mPolicy);
  if (const auto* own = std::get_if<PorttillerPolicy>(&mPolicy)) {
    for (int server = 0; server < mDeployment.mServers; ++server) {
      mQueues[static_cast<std::size_t>(server)].SetSlotLimit(
        own->SlotLimit(server, mNow));
    }
  }
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(mNow - kFaultBegins).count();
  if (FaultOn() && sinceMs % kNoiseEveryMs == 0) {
    mNoisyServer = static_cast<int>(
      mRandom() % static_cast<std::uint64_t>(mDeployment.mServers));
  }
  CountSetAside();
  At(mNow + kTick, [this] { Tick(); });
}

} // namespace porttiller::bench
