#include "porttiller/policy/WatchSchedule.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace porttiller;

namespace {

constexpr Millis kStep{ 1000 };
constexpr Millis kDuration{ 60'000 };

// The times at which the polls of a zone end, sorted; all watchers start at 0,
// and the first aRejected of them never poll.
std::vector<Millis>
EndTimesOf(std::size_t aWatchers, std::size_t aRejected)
{
  std::vector<Millis> ends;
  for (std::size_t rank = aRejected; rank < aWatchers; ++rank) {
    WatchSchedule schedule({ .mStep = kStep });
    for (Millis at{ 0 }; at < kDuration;) {
      at += schedule.NextWait({ .mRank = rank, .mCount = aWatchers });
      ends.push_back(at);
    }
  }
  std::sort(ends.begin(), ends.end());
  return ends;
}

Millis
LongestGap(const std::vector<Millis>& aEnds)
{
  Millis longest = aEnds.front();
  for (std::size_t i = 1; i < aEnds.size() && aEnds[i] <= kDuration; ++i) {
    longest = std::max(longest, aEnds[i] - aEnds[i - 1]);
  }
  return longest;
}

} // namespace

TEST_CASE("If all polls become unresponsive, one of them ends in every step")
{
  for (std::size_t watchers = 1; watchers <= 5; ++watchers) {
    CHECK(LongestGap(EndTimesOf(watchers, 0)) <= kStep);
  }
}

TEST_CASE("Staggered watchers call as often as one that polls for a step")
{
  const auto calls = EndTimesOf(3, 0).size();
  CHECK(calls <= static_cast<std::size_t>(kDuration / kStep) + 3);
}

TEST_CASE("Each watcher that the store rejects makes the gap a step longer")
{
  CHECK(LongestGap(EndTimesOf(3, 1)) <= 2 * kStep);
  CHECK(LongestGap(EndTimesOf(3, 2)) <= 3 * kStep);
}

TEST_CASE("Staggering starts again after a change and at another position")
{
  WatchSchedule schedule({ .mStep = kStep });
  const WatchPosition second{ .mRank = 1, .mCount = 3 };
  CHECK(schedule.NextWait(second) == 2 * kStep);
  CHECK(schedule.NextWait(second) == 3 * kStep);
  schedule.OnChange();
  CHECK(schedule.NextWait(second) == 2 * kStep);
  CHECK(schedule.NextWait({ .mRank = 0, .mCount = 3 }) == kStep);
  CHECK(schedule.NextWait({ .mRank = 0, .mCount = 3 }) == 3 * kStep);
}
