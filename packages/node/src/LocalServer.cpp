#include "porttiller/node/LocalServer.h"

#include "porttiller/node/HopHeaders.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace porttiller {

namespace {

constexpr Millis kLeavingRetryAfter{ 1000 };
constexpr int kServerErrors = 500;
constexpr Millis kLinger{ 5000 };
// A time-out says something of the server only if it had this long.
constexpr Millis kTellingTimeout{ 500 };
constexpr const char* kTimeoutReason = "server-timeout";
constexpr const char* kLeavingReason = "leaving";

EjectionOptions
OptionsFor(DetectionSetting aSetting)
{
  return aSetting == DetectionSetting::kFast ? FastEjection()
                                             : CarefulEjection();
}

HomeAnswer
Unknown(ExchangeError aError)
{
  return { .mOutcome = Outcome::kUnknown,
           .mReason = std::string("server-") + ToText(aError) };
}

} // namespace

LocalServer::LocalServer(const BackendServerSpec& aSpec,
                         DetectionSetting aDetection,
                         const Cutoff& aCutoff)
  : mSpec(aSpec)
  , mDetection(aDetection)
  , mCutoff(aCutoff)
  , mPool({ .mAddress = aSpec.mAddress,
            .mMaxConnections = std::min(aSpec.mConnections, aSpec.mSlots) })
  , mQueue({ .mSlots = aSpec.mSlots })
  , mMachine(OptionsFor(aDetection), Now())
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
}

std::string
LocalServer::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Dump() + " " + mQueue.Dump() +
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
  auto answer = Exchange(aRequest);
  const auto time = Now() - start;
  Learn(aRequest, answer, time);
  const bool ran = answer.mOutcome != Outcome::kNotRun;
  FreeSlot(ran ? std::optional<Micros>(time) : std::nullopt);
  answer.mLoad = Load();
  return answer;
}

// What an answer says of the server. Nothing is said by connections that are
// all in use, or by a caller that gave it no time.
void
LocalServer::Learn(const HomeRequest& aRequest,
                   const HomeAnswer& aAnswer,
                   Micros aTime)
{
  const std::lock_guard lock(mMutex);
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
             aAnswer.mRefusal == Refusal::kLeaving) {
    return;
  } else {
    evidence.mFailed = true;
  }
  mMachine.OnEvidence(evidence, Now());
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

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  if (mLeaving || Now() < mServerLeavingUntil) {
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
  }
  if (auto aside = RefuseAside(aRequest)) {
    return aside;
  }
  const auto ticket = mNextTicket++;
  const auto offer =
    mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  if (offer.mDisplaced) {
    mWaiters[*offer.mDisplaced].mRetryAfter = offer.mRetryAfter;
    Mark(*offer.mDisplaced, WaitState::kGivenUp);
  }
  if (offer.mVerdict == OfferVerdict::kShed) {
    return RefuseLocked(Refusal::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    return std::nullopt;
  }
  mWaiters[ticket] = { .mAttempt = aRequest.mAttempt };
  return WaitForSlot(lock, ticket, aRequest.mDeadline);
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
                         TimePoint aDeadline)
{
  mCutoff.WaitInSlices(aDeadline, [&](TimePoint aUntil) {
    return mChanged.wait_until(aLock, aUntil, [&] {
      return mWaiters[aTicket].mState != WaitState::kWaiting;
    });
  });
  const auto waiter = mWaiters[aTicket];
  mWaiters.erase(aTicket);
  switch (waiter.mState) {
    case WaitState::kStarted:
      return std::nullopt;
    case WaitState::kGivenUp:
      return RefuseLocked(Refusal::kOverloaded, waiter.mRetryAfter);
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
    mChanged.notify_all();
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

HomeAnswer
LocalServer::Exchange(const HomeRequest& aRequest)
{
  auto http = aRequest.mHttp;
  const auto left = std::chrono::ceil<Millis>(aRequest.mDeadline - Now());
  http.mHeaders.push_back(
    { hop::kDeadlineMs,
      std::to_string(std::max<Millis::rep>(1, left.count())) });
  auto begun = mPool.Begin(http, aRequest.mDeadline);
  if (!begun) {
    if (begun.error() == ExchangeError::kBusy ||
        begun.error() == ExchangeError::kNotSent) {
      const std::lock_guard lock(mMutex);
      const bool busy = begun.error() == ExchangeError::kBusy;
      return RefuseLocked(busy ? Refusal::kOverloaded : Refusal::kUnreachable,
                          kLeavingRetryAfter);
    }
    return Unknown(begun.error());
  }
  // Dropping the exchange closes its connection: the server may stop then.
  auto& exchange = **begun;
  const auto deadline =
    aRequest.mDeadline + (Lingers(aRequest) ? kLinger : Millis(0));
  const bool readable = mCutoff.WaitInSlices(
    deadline, [&](TimePoint aUntil) { return exchange.WaitReadable(aUntil); });
  if (!readable) {
    return Unknown(ExchangeError::kTimeout);
  }
  auto answer = exchange.ReadAnswer(mCutoff.Limit(deadline));
  if (!answer) {
    return Unknown(answer.error());
  }
  if (HeaderValue(answer->mHeaders, hop::kOutcome) ==
      ToText(Outcome::kNotRun)) {
    return RefusedByServer(*answer);
  }
  return { .mOutcome = Outcome::kRun, .mHttp = std::move(*answer) };
}

// The server's own word that it did not run the request: it is shedding load,
// or leaving.
HomeAnswer
LocalServer::RefusedByServer(const HttpAnswer& aHttp)
{
  const std::lock_guard lock(mMutex);
  if (HeaderValue(aHttp.mHeaders, hop::kReason) == kLeavingReason) {
    mServerLeavingUntil = Now() + kLeavingRetryAfter;
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
  }
  return RefuseLocked(Refusal::kOverloaded, mQueue.ExpectedWait());
}

} // namespace porttiller
