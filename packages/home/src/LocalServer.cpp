#include "porttiller/home/LocalServer.h"

#include "porttiller/home/HealthEvidence.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr Millis kLeavingCheckInterval{ 200 };

EjectionOptions
OptionsFor(DetectionSetting aSetting)
{
  return aSetting == DetectionSetting::kFast ? FastEjection()
                                             : CarefulEjection();
}

// With the breaker, the initial service time is that of typical requests, and
// requests that cannot end before their deadline are not started.
SlotQueueOptions
QueueOptionsFor(const BackendServerSpec& aSpec, FailingServers aFailingServers)
{
  if (aFailingServers == FailingServers::kEject) {
    return { .mSlots = aSpec.mSlots };
  }
  return { .mSlots = aSpec.mSlots,
           .mQueuePerSlot = 2.0,
           .mInitialServiceTime = Millis(100),
           .mMinServiceShare = 0.6 };
}

} // namespace

LocalServer::LocalServer(const BackendServerSpec& aSpec,
                         LocalServerOptions aOptions,
                         ServerThrottlePtr aThrottle,
                         const ShutdownDeadline& aShutdownDeadline,
                         CrashMonitor& aCrashMonitor)
  : mSpec(aSpec)
  , mOptions(std::move(aOptions))
  , mThrottle(std::move(aThrottle))
  , mShutdownDeadline(aShutdownDeadline)
  , mCrashMonitor(aCrashMonitor)
  , mCall(aSpec, mOptions.mHeaders, aShutdownDeadline, mOptions.mAnswerBudget)
  , mQueue(QueueOptionsFor(aSpec, mOptions.mFailingServers))
  , mMachine(OptionsFor(mOptions.mDetection), Now())
  , mBreaker(aSpec.Incarnation(), mRouteTimes)
  , mCrashes(aSpec.Incarnation(), mCall, aCrashMonitor)
  , mLeaving(aSpec.mLeaving)
{
}

double
LocalServer::LoadLocked() const
{
  return static_cast<double>(mQueue.Running() + mQueue.Waiting()) /
         mQueue.SlotLimit();
}

double
LocalServer::Load() const
{
  const std::lock_guard lock(mMutex);
  return LoadLocked();
}

bool
LocalServer::IsLeaving() const
{
  const std::lock_guard lock(mMutex);
  return IsLeavingLocked();
}

// As announced to this box, or by the server's answers.
bool
LocalServer::IsLeavingLocked() const
{
  return mLeaving || Now() < mServerLeavingUntil || mThrottle->IsLeaving();
}

int
LocalServer::InFlight() const
{
  const std::lock_guard lock(mMutex);
  return mQueue.Running() + mQueue.Waiting();
}

void
LocalServer::SetLeaving(bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  mLeaving = aLeaving;
  if (mLeaving) {
    RejectWaiters(RejectReason::kLeaving, kLeavingRetryAfter);
  }
}

std::string
LocalServer::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Dump() + " " + mBreaker.Dump() + " " + mQueue.Dump() +
         " leaving=" + (mLeaving ? "true" : "false") + " " + mThrottle->Dump();
}

HomeAnswer
LocalServer::RejectLocked(RejectReason aRejectReason, Millis aRetryAfter) const
{
  return { .mOutcome = Outcome::kNotRun,
           .mRejectReason = aRejectReason,
           .mRetryAfter = aRetryAfter,
           .mSilent = aRejectReason == RejectReason::kDemoted &&
                      mOptions.mFailingServers == FailingServers::kBreak &&
                      mBreaker.OpenedBySilence(),
           .mLoad = LoadLocked(),
           .mDemand = mThrottle->Demand() };
}

HomeAnswer
LocalServer::Run(const HomeRequest& aRequest)
{
  if (auto rejected = TakeSlot(aRequest)) {
    rejected->mSilent = rejected->mSilent && aRequest.mLongTarget;
    return *rejected;
  }
  const auto start = Now();
  mThrottle->OnSent(start);
  auto answer = mCall.Run(aRequest);
  if (answer.mSignals) {
    OnSignals(aRequest, *answer.mSignals, start);
  }
  const auto time = Now() - start;
  if (answer.mOutcome == Outcome::kNotRun) {
    OnServerRejection(answer);
  }
  RecordEvidence(aRequest, answer, time);
  mCrashes.OnEnded(aRequest, answer, IsLeaving());
  const bool ran = answer.mOutcome != Outcome::kNotRun;
  FreeSlot(ran ? std::optional<Micros>(time) : std::nullopt);
  const std::lock_guard lock(mMutex);
  answer.mLoad = LoadLocked();
  answer.mDemand = mThrottle->Demand();
  answer.mLatencyP90 = mRouteTimes.LatencyP90(aRequest.mRoute);
  return answer;
}

// Applies the server's own rejection to later requests.
void
LocalServer::OnServerRejection(HomeAnswer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  switch (aAnswer.mRejectReason) {
    case RejectReason::kNoServer:
      mReplaced = true;
      LogLine(LogLevel::kWarning, "server_replaced")
        .With("server", mSpec.Incarnation().ToString())
        .With("address", mSpec.mAddress);
      break;
    case RejectReason::kLeaving:
      mServerLeavingUntil = Now() + aAnswer.mRetryAfter;
      break;
    case RejectReason::kServerBusy:
      aAnswer.mRetryAfter = mQueue.ExpectedWait();
      break;
    default:
      break;
  }
}

void
LocalServer::RecordEvidence(const HomeRequest& aRequest,
                            const HomeAnswer& aAnswer,
                            Micros aTime)
{
  const std::lock_guard lock(mMutex);
  const bool answered = aAnswer.mOutcome == Outcome::kRun &&
                        aAnswer.mHttp.mStatus < kFirstServerErrorStatus;
  if (answered) {
    mRouteTimes.Observe(aRequest.mRoute, aTime);
  }
  if (mOptions.mFailingServers == FailingServers::kBreak) {
    mBreaker.OnEnded(aRequest, aAnswer, aTime, Now());
    return;
  }
  const bool slow = mMachine.HealthDetector().IsSlow(aTime);
  if (const auto evidence = HealthEvidenceOf(aRequest, aAnswer, aTime, slow)) {
    mMachine.OnEvidence(*evidence, Now());
  }
}

void
LocalServer::RecheckCrash()
{
  bool leaving = false;
  {
    const std::lock_guard lock(mMutex);
    leaving = mLeaving;
  }
  mCrashes.Recheck(leaving);
}

bool
LocalServer::Replaced() const
{
  const std::lock_guard lock(mMutex);
  return mReplaced;
}

std::vector<EjectionAction>
LocalServer::Tick(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  auto actions = mMachine.OnTick(aNow);
  const double slots = mMachine.SlotShare(aNow) * mSpec.mSlots;
  mQueue.SetSlotLimit(static_cast<int>(std::ceil(slots)));
  return actions;
}

void
LocalServer::OnPeers(const std::vector<PeerHealth>& aPeers, int aOthers)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnPeers(aPeers, aOthers, Now());
}

void
LocalServer::OnPermission(PermissionAnswer aAnswer)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnPermission(aAnswer, Now());
}

void
LocalServer::OnReleased(bool aDone)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnReleased(aDone, Now());
}

void
LocalServer::OnFloorBroken()
{
  const std::lock_guard lock(mMutex);
  mMachine.OnFloorBroken(Now());
}

std::optional<PeerHealth>
LocalServer::Health() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Health();
}

ServerPhase
LocalServer::Phase() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Phase();
}

bool
LocalServer::HoldsPermission() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.HoldsPermission();
}

std::optional<ServerStateUpdate>
LocalServer::TakeStateUpdate(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const auto due =
    mReport.Take(mBreaker.IsDemoted(aNow), mThrottle->Demand(), aNow);
  if (!due) {
    return std::nullopt;
  }
  if (due->mDemotionChanged && due->mDemoted) {
    RejectWaiters(RejectReason::kDemoted, mBreaker.RetryAfter(aNow));
  }
  return ServerStateUpdate{ .mServer = mSpec.Incarnation(),
                            .mService = mSpec.mService,
                            .mDemoted = due->mDemoted,
                            .mRetryAfter = mBreaker.RetryAfter(aNow),
                            .mDemand = due->mDemand,
                            .mLeavingEnded = due->mLeavingEnded,
                            .mReceivers = due->mLeavingEnded
                                            ? mSenders.All()
                                            : mSenders.Since(aNow) };
}

// A server that registers is identified by each start; one that an operator
// lists may start again under its name.
void
LocalServer::RecheckLeaving()
{
  const auto now = Now();
  {
    const std::lock_guard lock(mMutex);
    const bool identified =
      mSpec.mStartMs || !mOptions.mHeaders.mExpectedServer.empty();
    if (identified || !mThrottle->IsLeaving() || now < mNextLeavingCheck) {
      return;
    }
    mNextLeavingCheck = now + kLeavingCheckInterval;
  }
  if (!mCall.HasOpenIdle() && mCall.RefusesConnections()) {
    mThrottle->OnEnded();
    const std::lock_guard lock(mMutex);
    mReport.OnLeavingEnded();
  }
}

void
LocalServer::SetRetryBudget(const RetryBudgetOptions& aOptions)
{
  const std::lock_guard lock(mMutex);
  mRetries.SetOptions(aOptions);
}

} // namespace porttiller
