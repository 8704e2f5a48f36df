// Admission control of one backend server: its slots and a short queue for
// them. Under overload, requests of the lowest priority are shed first,
// immediately and with a time to wait before a retry.
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
  // Waiting requests for each slot, over all priorities.
  double mQueuePerSlot = 2.0;
  // Share of the queue that each priority may fill: critical, normal,
  // sheddable.
  std::array<double, kPriorityCount> mQueueShare = { 1.0, 0.75, 0.4 };
  Micros mInitialServiceTime{ 20'000 };
  // Share of the mean service time that must be left before the deadline when
  // a request starts; one that cannot end in time only occupies a slot.
  double mMinServiceShare = 0.0;
};

enum class OfferVerdict
{
  kStart, // it has a slot
  kWait,  // queued; a later Release, Cancel or displacing Offer removes it
  kShed   // rejected because of overload or its deadline
};

struct OfferResult
{
  OfferVerdict mVerdict = OfferVerdict::kShed;
  Millis mRetryAfter{ 0 };          // with kShed, or for mDisplaced
  std::optional<Ticket> mDisplaced; // a waiting request shed in its place
};

// Waiting requests that leave the queue when a slot is freed.
struct ReleaseResult
{
  std::vector<Ticket> mStart;
  std::vector<Ticket> mExpired; // can no longer end before their deadline
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

  // A started request ended after aServiceTime; null when it was not run.
  ReleaseResult Release(std::optional<Micros> aServiceTime, TimePoint aNow);

  // Removes a waiting request; false when it was not waiting.
  bool Cancel(Ticket aTicket);

  // Limits the slots while a server warms up; running requests continue.
  void SetSlotLimit(int aLimit);

  // Whether a request offered now would start at once.
  bool HasFreeSlot() const { return mRunning < mSlotLimit && Waiting() == 0; }
  int Running() const { return mRunning; }
  int Waiting() const;
  int SlotLimit() const { return mSlotLimit; }
  // A request that gets a slot later than this cannot end before aDeadline.
  TimePoint LatestStart(TimePoint aDeadline) const
  {
    return aDeadline - MinService();
  }
  // How long a request offered now would wait for a slot.
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
