// Admission to one backend server: its slots, a short queue before them, and
// who is given up first under overload. A request that is given up is named at
// once, with a time to come back after.
#pragma once

#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace porttiller {

using Ticket = std::uint64_t;

struct SlotQueueOptions
{
  int mSlots = 1;
  // Waiting requests allowed for each slot, over all priorities.
  double mQueuePerSlot = 2.0;
  // Share of the queue that each priority may fill: critical, normal,
  // sheddable.
  std::array<double, kPriorityCount> mQueueShare = { 1.0, 0.75, 0.4 };
  Micros mInitialServiceTime{ 20'000 };
  // Of the usual service time, so much must be left when a request starts;
  // one that cannot end in time would only keep a slot from another.
  double mMinServiceShare = 0.0;
};

enum class OfferVerdict
{
  kStart, // it has a slot now
  kWait,  // it is queued; Release or Cancel names it later
  kShed   // it is given up now
};

struct OfferResult
{
  OfferVerdict mVerdict = OfferVerdict::kShed;
  Millis mRetryAfter{ 0 };          // with kShed
  std::optional<Ticket> mDisplaced; // a waiting one that is given up instead
};

// What a freed slot brings.
struct ReleaseResult
{
  std::vector<Ticket> mStart;
  std::vector<Ticket> mExpired; // their deadline passed while waiting
};

// Not thread-safe: its owner holds the server's lock.
class SlotQueue
{
public:
  explicit SlotQueue(SlotQueueOptions aOptions);

  OfferResult Offer(Ticket aTicket,
                    Priority aPriority,
                    TimePoint aDeadline,
                    TimePoint aNow);

  // A started request ended after aServiceTime; null when it never ran.
  ReleaseResult Release(std::optional<Micros> aServiceTime, TimePoint aNow);

  // A waiting request goes away; false when it was not waiting.
  bool Cancel(Ticket aTicket);

  // Fewer slots while a server warms up; started requests go on.
  void SetSlotLimit(int aLimit);

  int Running() const { return mRunning; }
  int Waiting() const;
  int SlotLimit() const { return mSlotLimit; }
  // A waiting request that has no slot by then cannot end in time.
  TimePoint LatestStart(TimePoint aDeadline) const
  {
    return aDeadline - MinService();
  }
  // When a request offered now could expect a slot.
  Millis ExpectedWait() const;
  std::string Dump() const;

private:
  struct Waiter
  {
    Ticket mTicket;
    TimePoint mDeadline;
  };

  Micros MinService() const;
  int WaitingAhead(Priority aPriority) const;
  Micros ExpectedWait(int aAhead) const;
  int QueueLimit() const;
  std::optional<Ticket> DisplaceBelow(Priority aPriority);
  std::optional<Waiter> PopNext();

  SlotQueueOptions mOptions;
  int mSlotLimit;
  int mRunning = 0;
  Micros mServiceTime;
  std::array<std::deque<Waiter>, kPriorityCount> mQueues;
};

} // namespace porttiller
