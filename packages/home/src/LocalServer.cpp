#include "porttiller/home/LocalServer.h"

#include "porttiller/home/HealthEvidence.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr Millis kNoRetriesRetryAfter{ 500 };
constexpr Millis kLeavingCheckInterval{ 200 };
constexpr double kPercent = 100.0;

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

// Only long requests leave a part of the budget to others.
RetryUse
RetryUseOf(const HomeRequest& aRequest)
{
  if (!aRequest.mLongTarget) {
    return RetryUse::kAny;
  }
  if (aRequest.mIsHedge) {
    return RetryUse::kHedge;
  }
  return aRequest.mPriority == Priority::kSheddable ? RetryUse::kSheddable
                                                    : RetryUse::kAny;
}

std::string
ToText(RetryUse aUse)
{
  switch (aUse) {
    case RetryUse::kSheddable:
      return "sheddable";
    case RetryUse::kHedge:
      return "hedge";
    case RetryUse::kAny:
      break;
  }
  return "any";
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
  , mCall(aSpec, mOptions.mHeaders, aShutdownDeadline)
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

// Otherwise, waiting requests would reach a leaving server seconds after its
// box announced that no more will be sent, and a hanging server would free
// slots for them only by timeouts. Another server may still accept them.
void
LocalServer::RejectWaiters(RejectReason aRejectReason, Millis aRetryAfter)
{
  for (const auto& [ticket, waiter] : mWaiters) {
    const bool stays =
      aRejectReason == RejectReason::kDemoted && waiter.mLastResort;
    if (!stays && waiter.mState == WaitState::kWaiting &&
        CancelWaiter(ticket, waiter)) {
      RejectWaiter(ticket, aRejectReason, aRetryAfter);
    }
  }
}

// Removes a waiter from the queue. False if it was started before.
bool
LocalServer::CancelWaiter(Ticket aTicket, const Waiter& aWaiter)
{
  return aWaiter.mPaced ? aWaiter.mState == WaitState::kWaiting
                        : mQueue.Cancel(aTicket);
}

// The waiter must have been removed from the queue before.
void
LocalServer::RejectWaiter(Ticket aTicket,
                          RejectReason aRejectReason,
                          Millis aRetryAfter)
{
  auto& waiter = mWaiters[aTicket];
  waiter.mRejectReason = aRejectReason;
  waiter.mRetryAfter = aRetryAfter;
  SetWaitState(aTicket, WaitState::kRejected);
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

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  mSenders.OnRequest(aRequest.mAttempt.Box(), Now());
  OnLimitReport(aRequest);
  if (IsLeavingLocked()) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (mReplaced) {
    return RejectLocked(RejectReason::kNoServer, kLeavingRetryAfter);
  }
  auto rejected = RejectIfQuarantined(aRequest);
  if (!rejected) {
    rejected = mOptions.mFailingServers == FailingServers::kBreak
                 ? RejectIfBroken(aRequest)
                 : RejectIfEjected(aRequest);
  }
  if (!rejected) {
    rejected = RejectIfRetriesSpent(aRequest);
  }
  if (rejected) {
    return rejected;
  }
  if (mThrottle->Limit()) {
    return TakePacedSlot(lock, aRequest);
  }
  const auto ticket = mNextTicket++;
  const auto offer =
    mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  if (offer.mDisplaced) {
    RejectWaiter(
      *offer.mDisplaced, RejectReason::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kShed) {
    return RejectLocked(RejectReason::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    OnStarted(aRequest);
    return std::nullopt;
  }
  auto& waiter = mWaiters[ticket];
  waiter.mAttempt = aRequest.mAttempt;
  waiter.mLastResort = aRequest.mLastResort;
  auto notStarted = WaitForSlot(lock, ticket, aRequest);
  if (notStarted) {
    return notStarted;
  }
  rejected = RejectBeforeStart(aRequest);
  if (rejected) {
    lock.unlock();
    FreeSlot(std::nullopt);
    return rejected;
  }
  OnStarted(aRequest);
  return std::nullopt;
}

// What changed while the request waited for its slot.
std::optional<HomeAnswer>
LocalServer::RejectBeforeStart(const HomeRequest& aRequest)
{
  if (mThrottle->IsLeaving()) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (auto rejected = RejectIfQuarantined(aRequest)) {
    return rejected;
  }
  if (!mThrottle->Reserve(Micros(0), Now())) {
    return RejectLimited();
  }
  return std::nullopt;
}

std::optional<HomeAnswer>
LocalServer::RejectIfQuarantined(const HomeRequest& aRequest) const
{
  const auto state = mCrashMonitor.StateOf(aRequest.mDigest);
  const bool retryOfTrial =
    state.mVerdict == CrashVerdict::kTrial && aRequest.mIsRetry;
  if (state.mVerdict != CrashVerdict::kQuarantined && !retryOfTrial) {
    return std::nullopt;
  }
  return RejectLocked(RejectReason::kQuarantined, state.mRetryAfter);
}

void
LocalServer::OnStarted(const HomeRequest& aRequest)
{
  if (aRequest.mLongTarget) {
    mRouteTimes.AddLongRoute(aRequest.mRoute, *aRequest.mLongTarget);
  }
  mBreaker.OnStarted(aRequest, Now());
  mCrashes.OnStarted(aRequest);
  if (aRequest.mIsRetry) {
    mRetries.Spend();
  } else {
    mRetries.OnFirstAttempt(Now());
  }
}

std::optional<HomeAnswer>
LocalServer::RejectIfRetriesSpent(const HomeRequest& aRequest) const
{
  const auto use = RetryUseOf(aRequest);
  if (!aRequest.mIsRetry || mRetries.Admits(use)) {
    return std::nullopt;
  }
  if (aRequest.mLongTarget) {
    LogLine(LogLevel::kInfo, "retry_withheld")
      .With("request", aRequest.mRequestId)
      .With("attempt", aRequest.mAttempt.ToString())
      .With("server", mSpec.Incarnation().ToString())
      .With("use", ToText(use))
      .With("left_percent",
            std::lround(kPercent * std::max(0.0, mRetries.FillLevel())));
  }
  return RejectLocked(RejectReason::kNoRetries, kNoRetriesRetryAfter);
}

void
LocalServer::SetRetryBudget(const RetryBudgetOptions& aOptions)
{
  const std::lock_guard lock(mMutex);
  mRetries.SetOptions(aOptions);
}

std::optional<HomeAnswer>
LocalServer::RejectIfBroken(const HomeRequest& aRequest)
{
  const auto now = Now();
  if (MayBeInterrupted(aRequest)) {
    return RejectLocked(RejectReason::kDemoted, kLeavingRetryAfter);
  }
  // A trial is likely to fail and to need a retry at another server.
  const bool retryAvailable = mRetries.Affords(1);
  if (mBreaker.Admit(aRequest, retryAvailable, now)) {
    return std::nullopt;
  }
  return RejectLocked(RejectReason::kDemoted, mBreaker.RetryAfter(now));
}

// A planned stop aborts requests that still run at its deadline. A request that
// is not repeatable is rejected so that it runs elsewhere, unless no other
// server accepts it.
bool
LocalServer::MayBeInterrupted(const HomeRequest& aRequest) const
{
  return !aRequest.mRepeatable && !aRequest.mLastResort &&
         mShutdownDeadline.Limit(aRequest.mDeadline) < aRequest.mDeadline;
}

std::optional<HomeAnswer>
LocalServer::RejectIfEjected(const HomeRequest& aRequest)
{
  const auto now = Now();
  switch (mMachine.Gate(aRequest.mRepeatable, aRequest.mLastResort, now)) {
    case AdmissionVerdict::kAdmit:
      return std::nullopt;
    case AdmissionVerdict::kDemoted:
      return RejectLocked(RejectReason::kDemoted, mMachine.RetryAfter(now));
    case AdmissionVerdict::kEjected:
      break;
  }
  return RejectLocked(RejectReason::kEjected, mMachine.RetryAfter(now));
}

std::optional<HomeAnswer>
LocalServer::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                         Ticket aTicket,
                         const HomeRequest& aRequest)
{
  AwaitChange(
    aLock, mWaiters[aTicket], aRequest, mQueue.LatestStart(aRequest.mDeadline));
  return EndWait(aTicket);
}

// Waits until aUntil, or until the waiter's state changes or its request is
// cancelled.
void
LocalServer::AwaitChange(std::unique_lock<std::mutex>& aLock,
                         Waiter& aWaiter,
                         const HomeRequest& aRequest,
                         TimePoint aUntil)
{
  {
    // The listener locks mMutex, so it is added and removed without the lock.
    aLock.unlock();
    const auto listener = OnCancel(CancellationOf(aRequest), [this, &aWaiter] {
      const std::lock_guard lock(mMutex);
      aWaiter.mChanged.notify_all();
    });
    aLock.lock();
    const auto over = [&] { return aWaiter.mState != WaitState::kWaiting; };
    mShutdownDeadline.WaitInIntervals(
      aUntil,
      [&] { return IsCancelled(aRequest); },
      [&](TimePoint aIntervalEnd) {
        aWaiter.mChanged.wait_until(
          aLock, aIntervalEnd, [&] { return over() || IsCancelled(aRequest); });
        return over();
      });
    aLock.unlock();
  }
  aLock.lock();
}

LocalServer::EndedWait
LocalServer::RemoveWaiter(Ticket aTicket)
{
  const auto it = mWaiters.find(aTicket);
  const EndedWait ended{ .mState = it->second.mState,
                         .mRejectReason = it->second.mRejectReason,
                         .mRetryAfter = it->second.mRetryAfter };
  mWaiters.erase(it);
  return ended;
}

// Removes the waiter and returns its rejection; null once a slot is held.
std::optional<HomeAnswer>
LocalServer::EndWait(Ticket aTicket)
{
  const auto ended = RemoveWaiter(aTicket);
  switch (ended.mState) {
    case WaitState::kStarted:
      return std::nullopt;
    case WaitState::kRejected:
      return RejectLocked(ended.mRejectReason, ended.mRetryAfter);
    case WaitState::kWaiting:
      mQueue.Cancel(aTicket);
      break;
    case WaitState::kExpired:
      break;
  }
  return RejectLocked(RejectReason::kExpired, mQueue.ExpectedWait());
}

void
LocalServer::SetWaitState(Ticket aTicket, WaitState aState)
{
  const auto it = mWaiters.find(aTicket);
  if (it != mWaiters.end()) {
    it->second.mState = aState;
    it->second.mChanged.notify_all();
  }
}

void
LocalServer::FreeSlot(std::optional<Micros> aServiceTime)
{
  const std::lock_guard lock(mMutex);
  const auto freed = mQueue.Release(aServiceTime, Now());
  for (const auto ticket : freed.mStart) {
    SetWaitState(ticket, WaitState::kStarted);
  }
  for (const auto ticket : freed.mExpired) {
    SetWaitState(ticket, WaitState::kExpired);
  }
}

bool
LocalServer::CancelWaiting(const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [ticket, waiter] : mWaiters) {
    if (waiter.mAttempt == aAttempt && CancelWaiter(ticket, waiter)) {
      SetWaitState(ticket, WaitState::kExpired);
      return true;
    }
  }
  return false;
}

} // namespace porttiller
