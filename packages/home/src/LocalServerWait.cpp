// Requests that wait for a slot or a start time.
#include "porttiller/home/LocalServer.h"

namespace porttiller {

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
