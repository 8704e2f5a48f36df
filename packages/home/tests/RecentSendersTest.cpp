#include "porttiller/home/RecentSenders.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };

BoxName
Box(int aNumber)
{
  return BoxName("box-" + std::to_string(aNumber));
}

} // namespace

TEST_CASE("Only boxes that sent a request recently are returned")
{
  RecentSenders senders;
  senders.OnRequest(Box(1), kStart);
  senders.OnRequest(Box(2), kStart + Millis(8000));
  CHECK(senders.Since(kStart + Millis(9000)).size() == 2);
  CHECK(senders.CountSince(kStart + Millis(9000)) == 2);
  CHECK(senders.CountSince(kStart + Millis(12'000)) == 1);
  const auto later = senders.Since(kStart + Millis(12'000));
  REQUIRE(later.size() == 1);
  CHECK(later.front() == Box(2));
}

TEST_CASE("Beyond the maximum number of boxes the latest senders are kept")
{
  constexpr int kBoxes = 1300;
  RecentSenders senders;
  for (int i = 0; i < kBoxes; ++i) {
    senders.OnRequest(Box(i), kStart + Millis(i));
  }
  const auto recent = senders.Since(kStart + Millis(kBoxes));
  CHECK(recent.size() == 64);
  CHECK(std::find(recent.begin(), recent.end(), Box(kBoxes - 1)) !=
        recent.end());
}
