#include "porttiller/node/LocalServer.h"

#include "porttiller/node/HopHeaders.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kLeavingRetryAfter{ 1000 };

HomeAnswer
Unknown(ExchangeError aError)
{
  return { .mOutcome = Outcome::kUnknown,
           .mReason = std::string("server-") + ToText(aError) };
}

} // namespace

LocalServer::LocalServer(const BackendServerSpec& aSpec)
  : mSpec(aSpec)
  , mPool({ .mAddress = aSpec.mAddress,
            .mMaxConnections = std::min(aSpec.mConnections, aSpec.mSlots) })
  , mQueue({ .mSlots = aSpec.mSlots })
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
LocalServer::Running() const
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
  return mQueue.Dump() + " leaving=" + (mLeaving ? "true" : "false");
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
  const bool ran = answer.mOutcome != Outcome::kNotRun;
  FreeSlot(ran ? std::optional<Micros>(Now() - start) : std::nullopt);
  answer.mLoad = Load();
  return answer;
}

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  if (mLeaving) {
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
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
LocalServer::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                         Ticket aTicket,
                         TimePoint aDeadline)
{
  mChanged.wait_until(aLock, aDeadline, [&] {
    return mWaiters[aTicket].mState != WaitState::kWaiting;
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
  auto begun = mPool.Begin(aRequest.mHttp, aRequest.mDeadline);
  if (!begun) {
    if (begun.error() == ExchangeError::kBusy ||
        begun.error() == ExchangeError::kNotSent) {
      const std::lock_guard lock(mMutex);
      return RefuseLocked(Refusal::kUnreachable, kLeavingRetryAfter);
    }
    return Unknown(begun.error());
  }
  // Dropping the exchange closes its connection: the server may stop then.
  if (!(*begun)->WaitReadable(aRequest.mDeadline)) {
    return Unknown(ExchangeError::kTimeout);
  }
  auto http = (*begun)->ReadAnswer(aRequest.mDeadline);
  if (!http) {
    return Unknown(http.error());
  }
  return { .mOutcome = Outcome::kRun, .mHttp = std::move(*http) };
}

} // namespace porttiller
