// When a peer that reads slowly is disconnected, and when requests are rejected
// because of unread answers; time is passed in.
#include "ReadProgressPriv.h"
#include "UnsentBudgetPriv.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr Millis kSweep{ 500 };
constexpr std::uint64_t kBytesPerKb = 1024;

struct Cut
{
  std::optional<SlowReader> mReason;
  Millis mAfter{ 0 };
};

// Reads aBytes every aInterval for two minutes.
Cut
Play(std::uint64_t aBytes, Millis aInterval, std::size_t aMinReadRate)
{
  const HttpListenerOptions options{ .mMinReadRate = aMinReadRate };
  ReadProgress progress(options);
  const TimePoint start{};
  progress.Start(start, 7); // bytes of earlier answers do not count
  for (Millis at = kSweep; at <= Millis(120'000); at += kSweep) {
    const auto reads = static_cast<std::uint64_t>(at / aInterval);
    if (const auto reason = progress.Check(start + at, 7 + reads * aBytes)) {
      return { reason, at };
    }
  }
  return {};
}

} // namespace

TEST_CASE("A reader that stops is cut after the time for unread answers")
{
  const auto cut = Play(0, kSweep, kBytesPerKb);
  CHECK(cut.mReason == SlowReader::kStopped);
  CHECK(cut.mAfter == HttpListenerOptions{}.mUnreadTimeout);
}

// Guards against memory that is held for hours by readers of some bytes.
TEST_CASE("A reader below the least rate is cut after the window, others never")
{
  const auto slow = Play(1000, Millis(1000), kBytesPerKb);
  CHECK(slow.mReason == SlowReader::kTooSlow);
  CHECK(slow.mAfter == HttpListenerOptions{}.mReadRateWindow);
  CHECK_FALSE(Play(1024, Millis(1000), kBytesPerKb).mReason);
  CHECK_FALSE(Play(30 * kBytesPerKb, Millis(9000), kBytesPerKb).mReason);
  CHECK_FALSE(Play(1, Millis(1000), 0).mReason); // no least rate
}

TEST_CASE("A reader that becomes too slow is found in the next window")
{
  const HttpListenerOptions options{ .mMinReadRate = kBytesPerKb };
  ReadProgress progress(options);
  const TimePoint start{};
  progress.Start(start, 0);
  CHECK_FALSE(progress.Check(start + Millis(5000), 1 << 20));
  CHECK_FALSE(progress.Check(start + Millis(30'000 - 21'000), (1 << 20) + 1));
  std::optional<SlowReader> reason;
  Millis at{ 9000 };
  for (std::uint64_t read = (1 << 20) + 2; !reason; ++read) {
    at += Millis(5000);
    REQUIRE(at <= Millis(65'000));
    reason = progress.Check(start + at, read);
  }
  CHECK(reason == SlowReader::kTooSlow);
}

// Guards against a box that rejects everything while peers that do not read
// fill the budget: connections whose peers have read an answer go on.
TEST_CASE(
  "The last quarter of the budget is for peers that have read an answer")
{
  UnsentBudget budget(1000, Millis(10'000));
  CHECK(budget.Admits(false));
  budget.Change(0, 749);
  CHECK(budget.Admits(false));
  budget.Change(749, 750);
  CHECK_FALSE(budget.Admits(false));
  CHECK(budget.Admits(true));
  budget.Change(0, 250);
  CHECK_FALSE(budget.Admits(true));
  budget.Change(750, 0);
  CHECK(budget.Admits(false));
  CHECK(budget.Held() == 250);
}

TEST_CASE("A budget of zero bytes is unlimited")
{
  UnsentBudget budget(0, Millis(10'000));
  budget.Change(0, std::size_t{ 1 } << 40);
  CHECK(budget.Admits(false));
}

TEST_CASE("Retry-After follows the rate at which peers read")
{
  UnsentBudget budget(4000, Millis(10'000));
  const TimePoint start{};
  budget.Sample(start);
  budget.Change(0, 13'000);
  CHECK(budget.RetryAfter() == Millis(10'000)); // nobody reads
  budget.Change(13'000, 12'000);
  budget.Sample(start + Millis(500));
  CHECK(budget.RetryAfter() == Millis(4500)); // 9,000 bytes at 2 a ms
  budget.Change(12'000, 3000);
  budget.Sample(start + Millis(1000));
  CHECK(budget.RetryAfter() == Millis(1000));
}
