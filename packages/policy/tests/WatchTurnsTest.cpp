#include "porttiller/policy/WatchTurns.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace porttiller;

namespace {

constexpr Millis kStep{ 1000 };
constexpr Millis kTime{ 60'000 };

// When the watches of a zone end that all begin at 0, one list a watcher.
std::vector<Millis>
EndsOf(std::size_t aWatchers, std::size_t aTurnedAway)
{
  std::vector<Millis> ends;
  for (std::size_t rank = aTurnedAway; rank < aWatchers; ++rank) {
    WatchTurns turns({ .mStep = kStep });
    for (Millis at{ 0 }; at < kTime;) {
      at += turns.NextWait({ .mRank = rank, .mCount = aWatchers });
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
  for (std::size_t i = 1; i < aEnds.size() && aEnds[i] <= kTime; ++i) {
    longest = std::max(longest, aEnds[i] - aEnds[i - 1]);
  }
  return longest;
}

} // namespace

TEST_CASE("Of watches that all go silent one ends in every step")
{
  for (std::size_t watchers = 1; watchers <= 5; ++watchers) {
    CHECK(LongestGap(EndsOf(watchers, 0)) <= kStep);
  }
}

TEST_CASE("Watchers in turns call as often as one that waits a step")
{
  const auto calls = EndsOf(3, 0).size();
  CHECK(calls <= static_cast<std::size_t>(kTime / kStep) + 3);
}

TEST_CASE("Each watcher that the store turns away makes the gap a step longer")
{
  CHECK(LongestGap(EndsOf(3, 1)) <= 2 * kStep);
  CHECK(LongestGap(EndsOf(3, 2)) <= 3 * kStep);
}

TEST_CASE("Turns begin anew after a change, and at another place")
{
  WatchTurns turns({ .mStep = kStep });
  const WatchPlace second{ .mRank = 1, .mCount = 3 };
  CHECK(turns.NextWait(second) == 2 * kStep);
  CHECK(turns.NextWait(second) == 3 * kStep);
  turns.OnChange();
  CHECK(turns.NextWait(second) == 2 * kStep);
  CHECK(turns.NextWait({ .mRank = 0, .mCount = 3 }) == kStep);
  CHECK(turns.NextWait({ .mRank = 0, .mCount = 3 }) == 3 * kStep);
}
