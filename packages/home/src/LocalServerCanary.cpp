// Holds long requests that may run only once while nothing shows that the
// server accepts requests. A held request has no slot.
#include "porttiller/home/LocalServer.h"

#include "porttiller/telemetry/Log.h"
#include "porttiller/telemetry/Metrics.h"

#include <algorithm>
#include <vector>

namespace porttiller {

namespace {

// Interval at which held requests look whether a planned stop has begun or the
// server has been silent for long, which no event reports.
constexpr Millis kHeldCheckInterval{ 50 };

// True if the answer is the server's own, also if it says that it did not run
// the request.
bool
IsFromServer(const HomeAnswer& aAnswer)
{
  return aAnswer.mOutcome == Outcome::kRun ||
         (aAnswer.mOutcome == Outcome::kNotRun &&
          aAnswer.mRejectReason == RejectReason::kServerBusy);
}

} // namespace

// Only long requests give signals and wait for them.
bool
LocalServer::UsesGate(const HomeRequest& aRequest) const
{
  return mOptions.mFailingServers == FailingServers::kBreak &&
         aRequest.mLongTarget.has_value();
}

// A request that is admitted while the breaker is open is a trial or a last
// resort: it is sent in spite of the state of the server.
bool
LocalServer::NeedsSignal(const HomeRequest& aRequest)
{
  return UsesGate(aRequest) && !aRequest.mRepeatable && !aRequest.mLastResort &&
         !mBreaker.IsDemoted(Now());
}

void
LocalServer::OnGatedEnded(const HomeRequest& aRequest,
                          const HomeAnswer& aAnswer,
                          TimePoint aNow)
{
  mGate.OnEnded(aRequest.mAttempt, IsFromServer(aAnswer), aNow);
  OpenGate(aNow);
}

// If no slot is free, the request queues for one like any other, and its signal
// is checked when it gets the slot. Without a signal it returns the slot.
std::optional<HomeAnswer>
LocalServer::TakeSlotAfterSignal(std::unique_lock<std::mutex>& aLock,
                                 const HomeRequest& aRequest)
{
  const auto ticket = mNextTicket++;
  auto& waiter = mWaiters[ticket];
  waiter.mAttempt = aRequest.mAttempt;
  waiter.mRequest = &aRequest;
  OpenGate(Now()); // for those that were held before
  if (mQueue.HasFreeSlot() && !mGate.IsOpen(Now())) {
    Hold(waiter);
  } else {
    OfferHeld(ticket, waiter);
  }
  bool waited = waiter.mState == WaitState::kWaiting;
  AwaitHeldSlot(aLock, ticket, waiter);
  auto verdict = GateVerdict::kHold;
  std::optional<HomeAnswer> rejected;
  while (waiter.mState == WaitState::kStarted) {
    rejected = RejectHeld(aRequest);
    if (!rejected) {
      const auto now = Now();
      verdict = mGate.Decide(HeldUntil(waiter, now), now);
      if (verdict == GateVerdict::kHold) {
        Hold(waiter);
        FreeSlotLocked(std::nullopt);
        waited = true;
        AwaitHeldSlot(aLock, ticket, waiter);
        continue;
      }
      rejected = waited ? RejectBeforeStart(aRequest) : std::nullopt;
    }
    if (rejected) {
      FreeSlotLocked(std::nullopt);
    }
    break;
  }
  const auto heldSince = waiter.mHeldSince;
  if (rejected) {
    RemoveWaiter(ticket);
  } else {
    rejected = EndWait(ticket);
  }
  RecordHeld(aRequest, heldSince, verdict, rejected);
  if (!rejected) {
    OnStarted(aRequest);
  }
  return rejected;
}

// Returns when the waiter no longer waits, or when its request is cancelled or
// can no longer end in time.
void
LocalServer::AwaitHeldSlot(std::unique_lock<std::mutex>& aLock,
                           Ticket aTicket,
                           Waiter& aWaiter)
{
  const auto& request = *aWaiter.mRequest;
  while (aWaiter.mState == WaitState::kWaiting && !IsCancelled(request)) {
    aWaiter.mRecheck = false;
    if (aWaiter.mPlace == WaitPlace::kGate) {
      DecideHeld(aTicket, aWaiter);
    }
    if (aWaiter.mState != WaitState::kWaiting) {
      return;
    }
    const auto now = Now();
    const auto latest = mQueue.LatestStart(request.mDeadline);
    const bool held = aWaiter.mPlace == WaitPlace::kGate;
    if (!held && now >= mShutdownDeadline.Limit(latest)) {
      return;
    }
    const auto until =
      held ? std::min<TimePoint>(mGate.NextDecision(aWaiter.mHeldUntil, now),
                                 now + kHeldCheckInterval)
           : latest;
    AwaitChange(aLock, aWaiter, request, until);
  }
}

// Rejects a held request, offers it to the queue, or leaves it as it is.
void
LocalServer::DecideHeld(Ticket aTicket, Waiter& aWaiter)
{
  const auto now = Now();
  auto rejected = RejectHeld(*aWaiter.mRequest);
  if (!rejected && mShutdownDeadline.IsSet()) {
    rejected = RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (rejected) {
    RejectWaiter(aTicket, rejected->mRejectReason, rejected->mRetryAfter);
    return;
  }
  OpenGate(now);
  if (aWaiter.mPlace == WaitPlace::kGate &&
      mGate.Decide(aWaiter.mHeldUntil, now) != GateVerdict::kHold) {
    OfferHeld(aTicket, aWaiter);
  }
}

void
LocalServer::Hold(Waiter& aWaiter)
{
  const auto now = Now();
  aWaiter.mHeldUntil = HeldUntil(aWaiter, now);
  aWaiter.mHeldSince = aWaiter.mHeldSince.value_or(now);
  aWaiter.mPlace = WaitPlace::kGate;
  aWaiter.mState = WaitState::kWaiting;
}

// A request that is held again, because it got its slot when the signal had
// become invalid, is not held for longer in total.
TimePoint
LocalServer::HeldUntil(const Waiter& aWaiter, TimePoint aNow) const
{
  if (aWaiter.mHeldSince) {
    return aWaiter.mHeldUntil;
  }
  const auto& request = *aWaiter.mRequest;
  return std::min<TimePoint>(aNow + mGate.MaxWait(*request.mLongTarget),
                             mQueue.LatestStart(request.mDeadline));
}

// Offers the held requests to the queue while there is a signal: the most
// urgent ones first, and among them those that arrived first.
void
LocalServer::OpenGate(TimePoint aNow)
{
  if (!mGate.IsOpen(aNow) || mBreaker.IsDemoted(aNow)) {
    return;
  }
  std::vector<std::pair<Priority, Ticket>> held;
  for (const auto& [ticket, waiter] : mWaiters) {
    if (IsHeld(waiter)) {
      held.emplace_back(waiter.mRequest->mPriority, ticket);
    }
  }
  std::sort(held.begin(), held.end());
  for (const auto& [priority, ticket] : held) {
    OfferHeld(ticket, mWaiters.at(ticket));
  }
}

void
LocalServer::OfferHeld(Ticket aTicket, Waiter& aWaiter)
{
  const auto& request = *aWaiter.mRequest;
  aWaiter.mPlace = WaitPlace::kQueue;
  const auto offer =
    mQueue.OfferHeld(aTicket, request.mPriority, request.mDeadline, Now());
  if (offer.mDisplaced) {
    RejectWaiter(
      *offer.mDisplaced, RejectReason::kOverloaded, offer.mRetryAfter);
  }
  switch (offer.mVerdict) {
    case OfferVerdict::kStart:
      SetWaitState(aTicket, WaitState::kStarted);
      break;
    case OfferVerdict::kShed:
      RejectWaiter(aTicket, RejectReason::kOverloaded, offer.mRetryAfter);
      break;
    case OfferVerdict::kWait:
      aWaiter.mRecheck = true;
      aWaiter.mChanged.notify_all();
      break;
  }
}

std::optional<HomeAnswer>
LocalServer::RejectHeld(const HomeRequest& aRequest)
{
  const auto now = Now();
  if (IsLeavingLocked()) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (mReplaced) {
    return RejectLocked(RejectReason::kNoServer, kLeavingRetryAfter);
  }
  if (mBreaker.IsDemoted(now)) {
    return RejectLocked(RejectReason::kDemoted, mBreaker.RetryAfter(now));
  }
  return RejectIfQuarantined(aRequest);
}

// Lets the threads of held requests decide again.
void
LocalServer::RecheckHeld()
{
  for (auto& [ticket, waiter] : mWaiters) {
    if (IsHeld(waiter)) {
      waiter.mRecheck = true;
      waiter.mChanged.notify_all();
    }
  }
}

bool
LocalServer::IsHeld(const Waiter& aWaiter)
{
  return aWaiter.mPlace == WaitPlace::kGate &&
         aWaiter.mState == WaitState::kWaiting;
}

int
LocalServer::Held() const
{
  return static_cast<int>(
    std::count_if(mWaiters.begin(), mWaiters.end(), [](const auto& aWaiter) {
      return IsHeld(aWaiter.second);
    }));
}

void
LocalServer::RecordHeld(const HomeRequest& aRequest,
                        std::optional<TimePoint> aHeldSince,
                        GateVerdict aVerdict,
                        const std::optional<HomeAnswer>& aRejected) const
{
  const bool canary = !aRejected && aVerdict == GateVerdict::kCanary;
  if (!aHeldSince && !canary) {
    return;
  }
  if (mOptions.mMetrics != nullptr) {
    auto& metrics = *mOptions.mMetrics;
    metrics.HeldRequests().Increment(aHeldSince ? 1.0 : 0.0);
    metrics.Canaries().Increment(canary ? 1.0 : 0.0);
    metrics.RejectedHeld().Increment(aRejected ? 1.0 : 0.0);
  }
  std::string ended = canary ? "canary" : "signal";
  if (aRejected) {
    ended = ToText(aRejected->mRejectReason);
  }
  const auto time =
    std::chrono::duration_cast<Millis>(Now() - aHeldSince.value_or(Now()));
  LogLine(LogLevel::kInfo, "request_held")
    .With("request", aRequest.mRequestId)
    .With("server", mSpec.Incarnation().ToString())
    .With("ended", ended)
    .With("held_ms", time.count());
}

} // namespace porttiller
