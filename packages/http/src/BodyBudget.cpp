#include "porttiller/http/BodyBudget.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace porttiller {

namespace {

constexpr std::size_t kReserveShare = 16; // of which small bodies have one

} // namespace

BodyBudget::BodyBudget(std::size_t aBytes)
  : mBytes(aBytes)
{
}

std::size_t
BodyBudget::MaxBody() const
{
  return mBytes == 0 ? std::numeric_limits<std::size_t>::max()
                     : std::max(mBytes - mBytes / kReserveShare,
                                std::min(mBytes, kSmallBodyBytes));
}

std::size_t
BodyBudget::Reserved() const
{
  const std::lock_guard lock(mMutex);
  return mReserved;
}

std::size_t
BodyBudget::Waiting() const
{
  const std::lock_guard lock(mMutex);
  return mLine.size();
}

void
BodyBudget::NotifyRoom(std::function<void()> aListener)
{
  const std::lock_guard lock(mMutex);
  mListener = std::move(aListener);
}

bool
BodyBudget::Take(std::size_t aMore, std::size_t aTotal)
{
  const std::lock_guard lock(mMutex);
  Ticket none = 0;
  return TakeLocked(aMore, aTotal, none);
}

bool
BodyBudget::TakeOrQueue(std::size_t aBytes, Ticket& aTicket)
{
  const std::lock_guard lock(mMutex);
  if (TakeLocked(aBytes, aBytes, aTicket)) {
    return true;
  }
  if (aTicket == 0) {
    mLine.insert(aTicket = ++mLastTicket);
  }
  return false;
}

bool
BodyBudget::TakeLocked(std::size_t aMore, std::size_t aTotal, Ticket& aTicket)
{
  const bool small = aTotal <= kSmallBodyBytes;
  const auto limit = small ? mBytes : MaxBody();
  const bool isNext = small || mLine.empty() || *mLine.begin() == aTicket;
  if (mBytes > 0 && (!isNext || mReserved + aMore > limit)) {
    return false;
  }
  mReserved += aMore;
  if (aTicket != 0) {
    mLine.erase(std::exchange(aTicket, 0));
    NotifyLocked(); // the next one may find room as well
  }
  return true;
}

bool
BodyBudget::AwaitTake(std::size_t aBytes, Ticket& aTicket, TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  return mRoom.wait_until(
    lock, aUntil, [&] { return TakeLocked(aBytes, aBytes, aTicket); });
}

void
BodyBudget::Return(std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  assert(mReserved >= aBytes);
  mReserved -= aBytes;
  NotifyLocked();
}

void
BodyBudget::LeaveLine(Ticket aTicket)
{
  const std::lock_guard lock(mMutex);
  mLine.erase(aTicket);
  NotifyLocked();
}

void
BodyBudget::NotifyLocked()
{
  if (mLine.empty()) {
    return;
  }
  mRoom.notify_all();
  if (mListener) {
    mListener();
  }
}

BodyReservation::BodyReservation(std::shared_ptr<BodyBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

BodyReservation::~BodyReservation()
{
  Release();
}

BodyReservation::BodyReservation(BodyReservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mBytes(std::exchange(aOther.mBytes, 0))
  , mTicket(std::exchange(aOther.mTicket, 0))
{
}

BodyReservation&
BodyReservation::operator=(BodyReservation&& aOther) noexcept
{
  std::swap(mBudget, aOther.mBudget);
  std::swap(mBytes, aOther.mBytes);
  std::swap(mTicket, aOther.mTicket);
  return *this;
}

bool
BodyReservation::IsPossible(std::size_t aBytes) const
{
  return !mBudget || aBytes <= mBudget->MaxBody();
}

bool
BodyReservation::Reserve(std::size_t aBytes)
{
  assert(mBytes == 0);
  if (mBudget && !mBudget->TakeOrQueue(aBytes, mTicket)) {
    return false;
  }
  mBytes = aBytes;
  return true;
}

bool
BodyReservation::AwaitReserve(std::size_t aBytes, TimePoint aUntil)
{
  if (Reserve(aBytes)) {
    return true;
  }
  if (!mBudget->AwaitTake(aBytes, mTicket, aUntil)) {
    return false;
  }
  mBytes = aBytes;
  return true;
}

bool
BodyReservation::Grow(std::size_t aMore)
{
  if (mBudget && !mBudget->Take(aMore, mBytes + aMore)) {
    return false;
  }
  mBytes += aMore;
  return true;
}

bool
BodyReservation::OthersWait() const
{
  return mBudget && mBudget->Waiting() > 0;
}

void
BodyReservation::Release()
{
  if (!mBudget) {
    return;
  }
  if (mTicket != 0) {
    mBudget->LeaveLine(std::exchange(mTicket, 0));
  }
  if (mBytes > 0) {
    mBudget->Return(std::exchange(mBytes, 0));
  }
}

} // namespace porttiller
