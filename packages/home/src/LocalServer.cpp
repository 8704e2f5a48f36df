#include "porttiller/home/LocalServer.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace porttiller {

namespace {

constexpr Millis kLeavingRetryAfter{ 1000 };
constexpr Millis kNoRetriesAfter{ 500 };
constexpr int kServerErrors = 500;
// Four in five alarms for silence end within 0.3 s with the suspected answer,
// half of them within 84 ms; meanwhile the home refuses what comes.
constexpr Millis kNewsLasts{ 150 };
// A time-out says something of the server only if it had this long.
constexpr Millis kTellingTimeout{ 500 };
EjectionOptions
OptionsFor(DetectionSetting aSetting)
{
  return aSetting == DetectionSetting::kFast ? FastEjection()
                                             : CarefulEjection();
}

// Times of the users' requests, and no start for those that cannot end in time.
SlotQueueOptions
QueueOptionsFor(const BackendServerSpec& aSpec, FailingServers aWay)
{
  if (aWay == FailingServers::kEject) {
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
                         const Cutoff& aCutoff)
  : mSpec(aSpec)
  , mOptions(std::move(aOptions))
  , mCutoff(aCutoff)
  , mCall(aSpec, mOptions.mHeaders, aCutoff)
  , mQueue(QueueOptionsFor(aSpec, mOptions.mFailingServers))
  , mMachine(OptionsFor(mOptions.mDetection), Now())
  , mBreaker(aSpec.Incarnation(), mRouteTimes)
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
    TurnWaitersAway(Refusal::kLeaving, kLeavingRetryAfter);
  }
}

// A waiting request would reach a leaving server seconds after its box promised
// that none will, and the slots of one that hangs get free only by time-outs.
// Another server may still take it.
void
LocalServer::TurnWaitersAway(Refusal aRefusal, Millis aRetryAfter)
{
  for (const auto& [ticket, waiter] : mWaiters) {
    const bool stays = aRefusal == Refusal::kDemoted && waiter.mLastResort;
    if (!stays && waiter.mState == WaitState::kWaiting &&
        mQueue.Cancel(ticket)) {
      TurnAway(ticket, aRefusal, aRetryAfter);
    }
  }
}

// One that the queue holds no more.
void
LocalServer::TurnAway(Ticket aTicket, Refusal aRefusal, Millis aRetryAfter)
{
  auto& waiter = mWaiters[aTicket];
  waiter.mRefusal = aRefusal;
  waiter.mRetryAfter = aRetryAfter;
  Mark(aTicket, WaitState::kTurnedAway);
}

std::string
LocalServer::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Dump() + " " + mBreaker.Dump() + " " + mQueue.Dump() +
         " leaving=" + (mLeaving ? "true" : "false");
}

HomeAnswer
LocalServer::RefuseLocked(Refusal aRefusal, Millis aRetryAfter) const
{
  return { .mOutcome = Outcome::kNotRun,
           .mRefusal = aRefusal,
           .mRetryAfter = aRetryAfter,
           .mLoad = LoadLocked() };
}

HomeAnswer
LocalServer::Run(const HomeRequest& aRequest)
{
  if (auto refused = TakeSlot(aRequest)) {
    return *refused;
  }
  const auto start = Now();
  auto answer = mCall.Run(aRequest);
  const auto time = Now() - start;
  if (answer.mOutcome == Outcome::kNotRun) {
    NoteRefusal(answer);
  }
  Learn(aRequest, answer, time);
  const bool ran = answer.mOutcome != Outcome::kNotRun;
  FreeSlot(ran ? std::optional<Micros>(time) : std::nullopt);
  const std::lock_guard lock(mMutex);
  answer.mLoad = LoadLocked();
  answer.mUsualTime = mRouteTimes.UsualTime(aRequest.mRoute);
  return answer;
}

// What the server's own refusal says of the next requests.
void
LocalServer::NoteRefusal(HomeAnswer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  switch (aAnswer.mRefusal) {
    case Refusal::kNoServer:
      mReplaced = true;
      LogLine(LogLevel::kWarning, "server_replaced")
        .With("server", mSpec.Incarnation().ToString())
        .With("address", mSpec.mAddress);
      break;
    case Refusal::kLeaving:
      mServerLeavingUntil = Now() + aAnswer.mRetryAfter;
      break;
    case Refusal::kServerBusy:
      aAnswer.mRetryAfter = mQueue.ExpectedWait();
      break;
    default:
      break;
  }
}

// What an answer says of the server. Nothing is said by connections that are
// all in use, or by a caller that gave it no time.
void
LocalServer::Learn(const HomeRequest& aRequest,
                   const HomeAnswer& aAnswer,
                   Micros aTime)
{
  const std::lock_guard lock(mMutex);
  const bool answered =
    aAnswer.mOutcome == Outcome::kRun && aAnswer.mHttp.mStatus < kServerErrors;
  if (answered) {
    mRouteTimes.Observe(aRequest.mRoute, aTime);
  }
  if (mOptions.mFailingServers == FailingServers::kBreak) {
    mBreaker.OnEnded(aRequest, aAnswer, aTime, Now());
    return;
  }
  Evidence evidence{ .mLatency = aTime };
  evidence.mClass =
    static_cast<std::uint32_t>(std::hash<std::string>{}(aRequest.mRoute));
  if (aAnswer.mOutcome == Outcome::kRun) {
    evidence.mFailed = aAnswer.mHttp.mStatus >= kServerErrors;
  } else if (aAnswer.mReason == kTimeoutReason) {
    const bool telling =
      mMachine.Evidences().IsSlow(aTime) || aTime >= Micros(kTellingTimeout);
    if (!telling) {
      return;
    }
    evidence.mFailed = true;
  } else if (aAnswer.mRefusal == Refusal::kOverloaded ||
             aAnswer.mRefusal == Refusal::kServerBusy ||
             aAnswer.mRefusal == Refusal::kLeaving || IsCancelled(aRequest)) {
    return;
  } else {
    evidence.mFailed = true;
  }
  mMachine.OnEvidence(evidence, Now());
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

std::optional<ServerNews>
LocalServer::TakeNews(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const bool demoted = mBreaker.Demotes(aNow);
  if (demoted == mToldDemoted) {
    mNewsSince.reset();
    return std::nullopt;
  }
  mNewsSince = mNewsSince.value_or(aNow);
  if (aNow < *mNewsSince + kNewsLasts) {
    return std::nullopt;
  }
  mNewsSince.reset();
  mToldDemoted = demoted;
  if (demoted) {
    TurnWaitersAway(Refusal::kDemoted, mBreaker.RetryAfter(aNow));
  }
  return ServerNews{ .mServer = mSpec.Incarnation(),
                     .mService = mSpec.mService,
                     .mDemoted = demoted,
                     .mRetryAfter = mBreaker.RetryAfter(aNow),
                     .mReceivers = mSenders.Since(aNow) };
}

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  mSenders.OnRequest(aRequest.mAttempt.Box(), Now());
  if (mLeaving || Now() < mServerLeavingUntil) {
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
  }
  if (mReplaced) {
    return RefuseLocked(Refusal::kNoServer, kLeavingRetryAfter);
  }
  auto aside = mOptions.mFailingServers == FailingServers::kBreak
                 ? RefuseBroken(aRequest)
                 : RefuseAside(aRequest);
  if (!aside) {
    aside = RefuseRepeat(aRequest);
  }
  if (aside) {
    return aside;
  }
  const auto ticket = mNextTicket++;
  const auto offer =
    mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  if (offer.mDisplaced) {
    TurnAway(*offer.mDisplaced, Refusal::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kShed) {
    return RefuseLocked(Refusal::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    NoteStarted(aRequest);
    return std::nullopt;
  }
  auto& waiter = mWaiters[ticket];
  waiter.mAttempt = aRequest.mAttempt;
  waiter.mLastResort = aRequest.mLastResort;
  auto refused = WaitForSlot(lock, ticket, aRequest);
  if (!refused) {
    NoteStarted(aRequest);
  }
  return refused;
}

void
LocalServer::NoteStarted(const HomeRequest& aRequest)
{
  mBreaker.OnStarted(aRequest, Now());
  if (aRequest.mRepeat) {
    mRetries.Spend();
  } else {
    mRetries.OnFirstAttempt(Now());
  }
}

std::optional<HomeAnswer>
LocalServer::RefuseRepeat(const HomeRequest& aRequest) const
{
  if (!aRequest.mRepeat || mRetries.Affords(1)) {
    return std::nullopt;
  }
  return RefuseLocked(Refusal::kNoRetries, kNoRetriesAfter);
}

void
LocalServer::SetRetryBudget(const RetryBudgetOptions& aOptions)
{
  const std::lock_guard lock(mMutex);
  mRetries.SetOptions(aOptions);
}

std::optional<HomeAnswer>
LocalServer::RefuseBroken(const HomeRequest& aRequest)
{
  const auto now = Now();
  if (EndsTooSoonFor(aRequest)) {
    return RefuseLocked(Refusal::kDemoted, kLeavingRetryAfter);
  }
  // A trial most likely needs a retry elsewhere.
  const bool trialPaid = mRetries.Affords(1);
  if (mBreaker.Admit(aRequest, trialPaid, now)) {
    return std::nullopt;
  }
  return RefuseLocked(Refusal::kDemoted, mBreaker.RetryAfter(now));
}

// A box that is stopped may have to break off what hangs at its server. What
// may run only once goes elsewhere, unless no other server would take it.
bool
LocalServer::EndsTooSoonFor(const HomeRequest& aRequest) const
{
  return !aRequest.mRepeatable && !aRequest.mLastResort &&
         mCutoff.Limit(aRequest.mDeadline) < aRequest.mDeadline;
}

std::optional<HomeAnswer>
LocalServer::RefuseAside(const HomeRequest& aRequest)
{
  const auto now = Now();
  switch (mMachine.Gate(aRequest.mRepeatable, aRequest.mLastResort, now)) {
    case GateVerdict::kAdmit:
      return std::nullopt;
    case GateVerdict::kDemoted:
      return RefuseLocked(Refusal::kDemoted, mMachine.RetryAfter(now));
    case GateVerdict::kEjected:
      break;
  }
  return RefuseLocked(Refusal::kEjected, mMachine.RetryAfter(now));
}

std::optional<HomeAnswer>
LocalServer::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                         Ticket aTicket,
                         const HomeRequest& aRequest)
{
  auto& waiter = mWaiters[aTicket];
  {
    // The watch comes and goes without the lock: its listener takes it.
    aLock.unlock();
    const auto watch = OnCancel(CancellationOf(aRequest), [this, &waiter] {
      const std::lock_guard lock(mMutex);
      waiter.mChanged.notify_all();
    });
    aLock.lock();
    const auto over = [&] { return waiter.mState != WaitState::kWaiting; };
    mCutoff.WaitInSlices(
      mQueue.LatestStart(aRequest.mDeadline),
      [&] { return IsCancelled(aRequest); },
      [&](TimePoint aUntil) {
        waiter.mChanged.wait_until(
          aLock, aUntil, [&] { return over() || IsCancelled(aRequest); });
        return over();
      });
    aLock.unlock();
  }
  aLock.lock();
  return EndWait(aTicket);
}

// What became of a wait; null once a slot is held.
std::optional<HomeAnswer>
LocalServer::EndWait(Ticket aTicket)
{
  const auto it = mWaiters.find(aTicket);
  const auto state = it->second.mState;
  const auto refusal = it->second.mRefusal;
  const auto retryAfter = it->second.mRetryAfter;
  mWaiters.erase(it);
  switch (state) {
    case WaitState::kStarted:
      return std::nullopt;
    case WaitState::kTurnedAway:
      return RefuseLocked(refusal, retryAfter);
    case WaitState::kWaiting:
      mQueue.Cancel(aTicket);
      break;
    case WaitState::kExpired:
      break;
  }
  return RefuseLocked(Refusal::kExpired, mQueue.ExpectedWait());
}

void
LocalServer::Mark(Ticket aTicket, WaitState aState)
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
    Mark(ticket, WaitState::kStarted);
  }
  for (const auto ticket : freed.mExpired) {
    Mark(ticket, WaitState::kExpired);
  }
}

bool
LocalServer::CancelWaiting(const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [ticket, waiter] : mWaiters) {
    if (waiter.mAttempt == aAttempt && mQueue.Cancel(ticket)) {
      Mark(ticket, WaitState::kExpired);
      return true;
    }
  }
  return false;
}

} // namespace porttiller
