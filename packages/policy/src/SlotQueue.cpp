#include "porttiller/policy/SlotQueue.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr int kServiceTimeSmoothing = 16; // newest sample weighs 1/16
constexpr Millis kMinRetryAfter{ 50 };

Millis
RetryAfter(Micros aWait)
{
  return std::max(kMinRetryAfter, std::chrono::ceil<Millis>(aWait));
}

} // namespace

SlotQueue::SlotQueue(SlotQueueOptions aOptions)
  : mOptions(aOptions)
  , mSlotLimit(aOptions.mSlots)
  , mServiceTime(aOptions.mInitialServiceTime)
{
}

int
SlotQueue::Waiting() const
{
  std::size_t count = 0;
  for (const auto& queue : mQueues) {
    count += queue.size();
  }
  return static_cast<int>(count);
}

int
SlotQueue::WaitingAhead(Priority aPriority) const
{
  std::size_t count = 0;
  for (int i = 0; i <= static_cast<int>(aPriority); ++i) {
    count += mQueues.at(i).size();
  }
  return static_cast<int>(count);
}

int
SlotQueue::QueueLimit() const
{
  return std::max(
    1, static_cast<int>(std::lround(mOptions.mQueuePerSlot * mSlotLimit)));
}

Micros
SlotQueue::ExpectedWait(int aAhead) const
{
  return mServiceTime * (aAhead + 1) / std::max(1, mSlotLimit);
}

Millis
SlotQueue::ExpectedWait() const
{
  if (mRunning < mSlotLimit) {
    return Millis(0);
  }
  return std::chrono::ceil<Millis>(ExpectedWait(Waiting()));
}

OfferResult
SlotQueue::Offer(Ticket aTicket,
                 Priority aPriority,
                 TimePoint aDeadline,
                 TimePoint aNow)
{
  if (HasFreeSlot()) {
    ++mRunning;
    return { .mVerdict = OfferVerdict::kStart };
  }
  const auto wait = ExpectedWait(WaitingAhead(aPriority));
  const OfferResult shed{ .mVerdict = OfferVerdict::kShed,
                          .mRetryAfter = RetryAfter(wait) };
  if (aNow + wait + MinService() >= aDeadline) {
    return shed;
  }
  const auto index = static_cast<std::size_t>(aPriority);
  const auto allowed = std::max(
    1, static_cast<int>(mOptions.mQueueShare.at(index) * QueueLimit()));
  OfferResult result{ .mVerdict = OfferVerdict::kWait };
  if (Waiting() >= allowed) {
    result.mDisplaced = DisplaceBelow(aPriority);
    if (!result.mDisplaced) {
      return shed;
    }
    result.mRetryAfter = shed.mRetryAfter;
  }
  mQueues.at(index).push_back({ aTicket, aDeadline });
  return result;
}

Micros
SlotQueue::MinService() const
{
  const auto service = static_cast<double>(mServiceTime.count());
  return Micros(static_cast<Micros::rep>(service * mOptions.mMinServiceShare));
}

std::optional<Ticket>
SlotQueue::DisplaceBelow(Priority aPriority)
{
  for (int i = kPriorityCount - 1; i > static_cast<int>(aPriority); --i) {
    auto& queue = mQueues.at(i);
    if (!queue.empty()) {
      const auto ticket = queue.back().mTicket;
      queue.pop_back();
      return ticket;
    }
  }
  return std::nullopt;
}

std::optional<SlotQueue::Waiter>
SlotQueue::PopNext()
{
  for (auto& queue : mQueues) {
    if (!queue.empty()) {
      const auto waiter = queue.front();
      queue.pop_front();
      return waiter;
    }
  }
  return std::nullopt;
}

ReleaseResult
SlotQueue::Release(std::optional<Micros> aServiceTime, TimePoint aNow)
{
  --mRunning;
  if (aServiceTime) {
    mServiceTime += (*aServiceTime - mServiceTime) / kServiceTimeSmoothing;
  }
  ReleaseResult result;
  while (mRunning < mSlotLimit) {
    const auto waiter = PopNext();
    if (!waiter) {
      break;
    }
    if (waiter->mDeadline <= aNow + MinService()) {
      result.mExpired.push_back(waiter->mTicket);
      continue;
    }
    result.mStart.push_back(waiter->mTicket);
    ++mRunning;
  }
  return result;
}

bool
SlotQueue::Cancel(Ticket aTicket)
{
  for (auto& queue : mQueues) {
    const auto it =
      std::find_if(queue.begin(), queue.end(), [&](const Waiter& aWaiter) {
        return aWaiter.mTicket == aTicket;
      });
    if (it != queue.end()) {
      queue.erase(it);
      return true;
    }
  }
  return false;
}

void
SlotQueue::SetSlotLimit(int aLimit)
{
  mSlotLimit = std::clamp(aLimit, 1, mOptions.mSlots);
}

std::string
SlotQueue::Dump() const
{
  return "running=" + std::to_string(mRunning) +
         " waiting=" + std::to_string(Waiting()) +
         " slot_limit=" + std::to_string(mSlotLimit) +
         " service_time_us=" + std::to_string(mServiceTime.count());
}

} // namespace porttiller
