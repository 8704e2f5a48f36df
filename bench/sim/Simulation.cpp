#include "sim/Simulation.h"

#include <algorithm>
#include <cmath>

namespace porttiller::bench {

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kDeadline{ 1000 };
// The entry revokes an attempt after this time without a reply.
constexpr Millis kLostRequestTimeout{ 150 };
constexpr double kRepeatableShare = 0.6;
constexpr double kCriticalShare = 0.2;
constexpr double kSheddableShare = 0.3;
constexpr int kMaxAttempts = 4;
constexpr double kOverloadFactor = 2.0;
constexpr double kUnboundedQueue = 1e6; // baselines do not shed load

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

Simulation::Simulation(const Deployment& aDeployment,
                       const Scenario& aScenario,
                       const RunOptions& aOptions)
  : mDeployment(aDeployment)
  , mScenario(aScenario)
  , mRandom(aOptions.mSeed)
  , mFaults(aScenario.mKind, aDeployment)
  , mPolicy(MakePolicy(aOptions.mPolicy,
                       aDeployment,
                       aScenario.mKind == FaultKind::kPlatformUnavailable))
  , mWasRemoved(static_cast<std::size_t>(aDeployment.mServers))
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
Simulation::Uniform()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
Simulation::At(TimePoint aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, mOrder++, std::move(aRun) });
}

RunResult
Simulation::Run()
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
Simulation::RestartCold()
{
  if (auto* own = std::get_if<PorttillerPolicy>(&mPolicy)) {
    own->OnServerRestart(kFaultyServer, mNow);
  }
}

void
Simulation::ArriveNext()
{
  double rate = mDeployment.mRatePerServer * mDeployment.mServers;
  if (mScenario.mKind == FaultKind::kOverload && mFaults.IsActive(mNow)) {
    rate = kOverloadFactor * CapacityRate(mDeployment);
  }
  const double gap = std::exponential_distribution<double>(rate)(mRandom);
  At(mNow + Micros(static_cast<std::int64_t>(gap * 1e6)), [this] {
    Arrive();
    ArriveNext();
  });
}

void
Simulation::Arrive()
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
  if (mFaults.IsActive(mNow)) {
    ++mResult.mOffered.at(static_cast<std::size_t>(request.mPriority));
  }
  mBudget.OnFirstAttempt(mNow);
  const auto id = mNextTicket++;
  mRequests.emplace(id, std::move(request));
  Dispatch(id);
}

std::vector<Candidate>
Simulation::Candidates(const Request& aRequest) const
{
  std::vector<Candidate> candidates;
  for (int server = 0; server < mDeployment.mServers; ++server) {
    const auto index = static_cast<std::size_t>(server);
    Candidate candidate{ .mSameZone = server == aRequest.mEntry };
    candidate.mReportedLoad = mReportedLoad[index];
    candidate.mEligibility = std::visit(
      [&](const auto& aPolicy) {
        if constexpr (requires { aPolicy.EligibilityAt(0, 0, mNow); }) {
          return aPolicy.EligibilityAt(aRequest.mEntry, server, mNow);
        } else {
          return Eligibility::kOpen;
        }
      },
      mPolicy);
    if (aRequest.mTried[index]) {
      candidate.mEligibility = Eligibility::kExcluded;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void
Simulation::Dispatch(Ticket aId)
{
  auto& request = mRequests.at(aId);
  const auto candidates = Candidates(request);
  const BalancerOptions options;
  const auto chosen = ChooseServer(candidates, options, mRandom(), mRandom());
  if (!chosen || request.mAttempts >= kMaxAttempts) {
    if (AllowDemoted(request)) {
      Dispatch(aId);
    } else {
      End(aId, false);
    }
    return;
  }
  const int server = static_cast<int>(*chosen);
  request.mTried[*chosen] = true;
  ++request.mAttempts;
  if (mFaults.PathCut(request.mEntry, server, mNow)) {
    At(mNow + kLostRequestTimeout,
       [this, aId, server] { OnLost(aId, server); });
    return;
  }
  const auto delay =
    server == request.mEntry ? Micros(0) : mDeployment.mZoneDelay;
  At(mNow + delay, [this, aId, server] { ArriveAtHome(aId, server); });
}

// Allows the request to try demoted servers as the last resort; false if there
// are none, or they have been allowed already.
bool
Simulation::AllowDemoted(Request& aRequest)
{
  const auto& demoted = aRequest.mDemoted;
  const bool any =
    std::find(demoted.begin(), demoted.end(), true) != demoted.end();
  if (!any || aRequest.mLastResort) {
    return false;
  }
  aRequest.mLastResort = true;
  aRequest.mAttempts = 0;
  for (std::size_t i = 0; i < demoted.size(); ++i) {
    aRequest.mTried[i] = aRequest.mTried[i] && !demoted[i];
  }
  return true;
}

void
Simulation::OnLost(Ticket aId, int aServer)
{
  const auto& request = mRequests.at(aId);
  const Attempt attempt{ request.mEntry, aServer, request.mRepeatable, false };
  std::visit([&](auto& aPolicy) { aPolicy.OnPathFailure(attempt, mNow); },
             mPolicy);
  // Only porttiller's home can confirm that the attempt was not run.
  if (request.mRepeatable || IsPorttiller(mPolicy)) {
    Dispatch(aId);
  } else {
    End(aId, false);
  }
}

void
Simulation::ArriveAtHome(Ticket aId, int aServer)
{
  auto& request = mRequests.at(aId);
  const Attempt attempt{
    request.mEntry, aServer, request.mRepeatable, request.mLastResort
  };
  if (auto* own = std::get_if<PorttillerPolicy>(&mPolicy)) {
    const auto verdict = own->Gate(attempt, mNow);
    if (verdict != AdmissionVerdict::kAdmit) {
      own->OnRejected(attempt, mNow);
      request.mDemoted[static_cast<std::size_t>(aServer)] =
        verdict == AdmissionVerdict::kDemoted;
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

void
Simulation::Start(Ticket aId, int aServer)
{
  const auto& request = mRequests.at(aId);
  const double ms =
    std::lognormal_distribution<double>(std::log(mDeployment.mServiceMedianMs),
                                        mDeployment.mServiceSigma)(mRandom) *
    mFaults.Slowness(aServer, mNow);
  const Micros time(static_cast<std::int64_t>(ms * 1000.0));
  const bool failed =
    Uniform() < mFaults.FailureRate(aServer, request.mCallKind, mNow);
  At(mNow + time, [this, aId, aServer, time, failed] {
    Complete(aId, aServer, time, failed);
  });
}

void
Simulation::Complete(Ticket aId, int aServer, Micros aTime, bool aFailed)
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
  ReleaseSlot(aServer, aTime);
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
Simulation::ReleaseSlot(int aServer, std::optional<Micros> aTime)
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
Simulation::OnFailure(Ticket aId)
{
  const auto& request = mRequests.at(aId);
  if (request.mRepeatable && mBudget.TryRetry()) {
    Dispatch(aId);
  } else {
    End(aId, false);
  }
}

void
Simulation::End(Ticket aId, bool aGood)
{
  const auto& request = mRequests.at(aId);
  const auto arrived = request.mDeadline - kDeadline;
  if (!aGood) {
    ++mResult.mFailedRequests;
  } else if (arrived >= kFaultBegins && arrived < kFaultEnds) {
    ++mResult.mGood.at(static_cast<std::size_t>(request.mPriority));
  }
  mRequests.erase(aId);
}

bool
Simulation::IsAtFault(int aServer) const
{
  return !mScenario.mNoServerAtFault && aServer == kFaultyServer &&
         mNow >= kFaultBegins;
}

void
Simulation::CountRemovals()
{
  for (int server = 0; server < mDeployment.mServers; ++server) {
    bool removed = false;
    bool anywhere = false;
    std::visit(
      [&](const auto& aPolicy) {
        if constexpr (requires { aPolicy.OutOfRotation(server); }) {
          removed = aPolicy.OutOfRotation(server);
          anywhere = removed;
        }
        if constexpr (requires { aPolicy.RemovedFromUseAnywhere(server); }) {
          anywhere = aPolicy.RemovedFromUseAnywhere(server);
        }
      },
      mPolicy);
    const auto index = static_cast<std::size_t>(server);
    if (IsAtFault(server)) {
      if (removed && mResult.mDetectionMs < 0.0) {
        mResult.mDetectionMs =
          std::chrono::duration<double, std::milli>(mNow - kFaultBegins)
            .count();
      }
    } else if (anywhere && !mWasRemoved[index]) {
      ++mResult.mFalseEjections;
    }
    mWasRemoved[index] = anywhere;
  }
}

void
Simulation::Tick()
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
  mFaults.OnTick(mNow, mRandom);
  CountRemovals();
  At(mNow + kTick, [this] { Tick(); });
}

} // namespace porttiller::bench
