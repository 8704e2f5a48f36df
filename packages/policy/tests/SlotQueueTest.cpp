#include "porttiller/policy/SlotQueue.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>
#include <set>

using namespace porttiller;

namespace {

const TimePoint kStart{ Micros(1) };
const TimePoint kLate = kStart + Millis(60'000);

} // namespace

TEST_CASE("A full queue sheds the lowest priority first, immediately")
{
  SlotQueue queue({ .mSlots = 1, .mQueuePerSlot = 2.0 });
  CHECK(queue.Offer(1, Priority::kNormal, kLate, kStart).mVerdict ==
        OfferVerdict::kStart);
  CHECK(queue.Offer(2, Priority::kSheddable, kLate, kStart).mVerdict ==
        OfferVerdict::kWait);
  CHECK(queue.Offer(3, Priority::kCritical, kLate, kStart).mVerdict ==
        OfferVerdict::kWait);
  const auto displaced = queue.Offer(4, Priority::kCritical, kLate, kStart);
  CHECK(displaced.mVerdict == OfferVerdict::kWait);
  CHECK(displaced.mDisplaced == Ticket(2));
  const auto shed = queue.Offer(5, Priority::kCritical, kLate, kStart);
  CHECK(shed.mVerdict == OfferVerdict::kShed);
  CHECK(shed.mRetryAfter > Millis(0));
}

TEST_CASE("A request that cannot get a slot before its deadline is shed")
{
  SlotQueue queue({ .mSlots = 1, .mInitialServiceTime = Micros(50'000) });
  queue.Offer(1, Priority::kNormal, kLate, kStart);
  CHECK(
    queue.Offer(2, Priority::kNormal, kStart + Millis(20), kStart).mVerdict ==
    OfferVerdict::kShed);
}

TEST_CASE("Slots are never exceeded and every waiting ticket leaves once")
{
  const bool ok = rc::check([] {
    const int slots = Draw(1, 4);
    SlotQueue queue({ .mSlots = slots, .mQueuePerSlot = 2.0 });
    std::set<Ticket> running;
    std::set<Ticket> waiting;
    auto now = kStart;
    Ticket next = 1;
    const auto steps = Draw(1, 100);
    for (int step = 0; step < steps; ++step) {
      now += Millis(Draw(0, 30));
      if (Draw(0, 2) == 0 || running.empty()) {
        const auto ticket = next++;
        const auto result = queue.Offer(ticket,
                                        static_cast<Priority>(Draw(0, 3)),
                                        now + Millis(Draw(1, 200)),
                                        now);
        if (result.mVerdict == OfferVerdict::kStart) {
          running.insert(ticket);
        } else if (result.mVerdict == OfferVerdict::kWait) {
          waiting.insert(ticket);
        }
        if (result.mDisplaced) {
          RC_ASSERT(waiting.erase(*result.mDisplaced) == 1U);
        }
      } else {
        running.erase(running.begin());
        const auto freed = queue.Release(Micros(10'000), now);
        for (const auto ticket : freed.mStart) {
          RC_ASSERT(waiting.erase(ticket) == 1U);
          running.insert(ticket);
        }
        for (const auto ticket : freed.mExpired) {
          RC_ASSERT(waiting.erase(ticket) == 1U);
        }
      }
      RC_ASSERT(static_cast<int>(running.size()) <= slots);
      RC_ASSERT(queue.Running() == static_cast<int>(running.size()));
      RC_ASSERT(queue.Waiting() == static_cast<int>(waiting.size()));
    }
  });
  CHECK(ok);
}

TEST_CASE("A request that cannot end in time does not wait, and does not start")
{
  SlotQueue queue({ .mSlots = 1,
                    .mQueuePerSlot = 8.0,
                    .mInitialServiceTime = Millis(100),
                    .mMinServiceShare = 0.5 });
  const TimePoint now{ Millis(1000) };
  CHECK(queue.Offer(1, Priority::kNormal, now + Millis(1), now).mVerdict ==
        OfferVerdict::kStart);
  // 100 ms until the slot is free, plus at least 50 ms of service.
  CHECK(queue.Offer(2, Priority::kNormal, now + Millis(140), now).mVerdict ==
        OfferVerdict::kShed);
  CHECK(queue.Offer(3, Priority::kNormal, now + Millis(200), now).mVerdict ==
        OfferVerdict::kWait);
  const auto late = queue.Release(Millis(100), now + Millis(160));
  CHECK(late.mStart.empty());
  CHECK(late.mExpired.size() == 1);
}

TEST_CASE("LatestStart leaves the minimum service time before the deadline")
{
  SlotQueue queue({ .mSlots = 1,
                    .mInitialServiceTime = Millis(100),
                    .mMinServiceShare = 0.6 });
  const TimePoint deadline{ Millis(1000) };
  CHECK(queue.LatestStart(deadline) == deadline - Millis(60));
}
