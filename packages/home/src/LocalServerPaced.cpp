// Admission to a server that names a limit: requests start at times within the
// limit, and do not queue for slots.
#include "porttiller/home/LocalServer.h"

#include <array>

namespace porttiller {

namespace {

constexpr Millis kMaxPacedWait{ 1000 };
// Part of the time until its deadline that a request may wait for its start.
constexpr int kPacedWaitDivisor = 3;
// Share of the longest wait by priority: critical, normal, sheddable. Less
// urgent requests are rejected first when starts are reserved far ahead.
constexpr std::array<double, kPriorityCount> kWaitShare = { 1.0, 0.75, 0.4 };

// Only a request that no other server takes waits for this one.
Micros
MaxPacedWait(const HomeRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.mLastResort) {
    return Micros(0);
  }
  const auto longest = std::min<Micros>(
    kMaxPacedWait, (aRequest.mDeadline - aNow) / kPacedWaitDivisor);
  const double share =
    kWaitShare.at(static_cast<std::size_t>(aRequest.mPriority));
  return Micros(
    static_cast<Micros::rep>(share * static_cast<double>(longest.count())));
}

} // namespace

HomeAnswer
LocalServer::RejectLimited() const
{
  return RejectLocked(RejectReason::kLimited, mThrottle->RetryAfter(Now()));
}

void
LocalServer::OnLimitReport(const HomeRequest& aRequest)
{
  if (!aRequest.mLimit) {
    return;
  }
  const auto now = Now();
  if (mThrottle->OnReport(*aRequest.mLimit, mSenders.CountSince(now), now)) {
    RejectWaiters(RejectReason::kLimited, mThrottle->RetryAfter(now));
  }
}

void
LocalServer::OnSignals(const HomeRequest& aRequest,
                       const ServerSignals& aSignals,
                       TimePoint aSent)
{
  const std::lock_guard lock(mMutex);
  const auto now = Now();
  // Only a limit that begins is shared out between the senders.
  const std::size_t senders = aSignals.mLimit ? mSenders.CountSince(now) : 0;
  const bool tightened =
    mThrottle->OnAnswer(aSignals, aRequest.mRequestId, senders, aSent, now);
  if (mThrottle->IsLeaving()) {
    RejectWaiters(RejectReason::kLeaving, kLeavingRetryAfter);
  } else if (tightened) {
    RejectWaiters(RejectReason::kLimited, mThrottle->RetryAfter(now));
  }
}

// Returns null once a slot is held, otherwise the rejection.
std::optional<HomeAnswer>
LocalServer::TakePacedSlot(std::unique_lock<std::mutex>& aLock,
                           const HomeRequest& aRequest)
{
  if (!mQueue.HasFreeSlot()) {
    return RejectLocked(RejectReason::kOverloaded, mQueue.ExpectedWait());
  }
  const auto now = Now();
  const auto start = mThrottle->Reserve(MaxPacedWait(aRequest, now), now);
  if (!start) {
    return RejectLimited();
  }
  const auto ticket = mNextTicket++;
  if (*start > now) {
    if (auto rejected = WaitForStart(aLock, ticket, aRequest, *start)) {
      mThrottle->Return();
      return rejected;
    }
  }
  if (!mQueue.HasFreeSlot()) {
    mThrottle->Return();
    return RejectLocked(RejectReason::kOverloaded, mQueue.ExpectedWait());
  }
  mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  OnStarted(aRequest);
  return std::nullopt;
}

// Returns null at the start time, otherwise the rejection. A planned stop of
// the box ends the wait earlier.
std::optional<HomeAnswer>
LocalServer::WaitForStart(std::unique_lock<std::mutex>& aLock,
                          Ticket aTicket,
                          const HomeRequest& aRequest,
                          TimePoint aStart)
{
  auto& waiter = mWaiters[aTicket];
  waiter.mAttempt = aRequest.mAttempt;
  waiter.mLastResort = aRequest.mLastResort;
  waiter.mPaced = true;
  AwaitChange(aLock, waiter, aRequest, aStart);
  const auto ended = RemoveWaiter(aTicket);
  if (ended.mState == WaitState::kRejected) {
    return RejectLocked(ended.mRejectReason, ended.mRetryAfter);
  }
  if (Now() < aStart && ended.mState == WaitState::kWaiting &&
      !IsCancelled(aRequest)) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (ended.mState == WaitState::kExpired || IsCancelled(aRequest) ||
      Now() >= mQueue.LatestStart(aRequest.mDeadline)) {
    return RejectLocked(RejectReason::kExpired, mThrottle->RetryAfter(Now()));
  }
  return RejectIfQuarantined(aRequest);
}

} // namespace porttiller
