#include "porttiller/policy/RequestPacer.h"

#include "FuzzDraw.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace porttiller;

namespace {

constexpr Millis kWindow{ 4000 };
constexpr double kWindowS = 4.0;
constexpr int kRunMs = 30'000;
const TimePoint kStart{ Millis(1'000'000) };

// The most start times in any window.
int
WorstWindow(std::vector<TimePoint> aStarts)
{
  std::sort(aStarts.begin(), aStarts.end());
  std::size_t worst = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aStarts.size(); ++last) {
    while (aStarts[last] - aStarts[first] >= kWindow) {
      ++first;
    }
    worst = std::max(worst, last - first + 1);
  }
  return static_cast<int>(worst);
}

// A request every millisecond until kRunMs, each waiting up to aMaxWait.
std::vector<TimePoint>
Flood(RequestPacer& aPacer, Millis aMaxWait)
{
  std::vector<TimePoint> starts;
  for (int ms = 0; ms < kRunMs; ++ms) {
    if (const auto at = aPacer.Reserve(aMaxWait, kStart + Millis(ms))) {
      starts.push_back(*at);
    }
  }
  return starts;
}

} // namespace

TEST_CASE("A flood of requests passes at the rate, also at fractions")
{
  for (const double rate : { 0.2, 1.0, 1.4, 3.0, 40.0, 400.0 }) {
    for (const Millis wait : { Millis(0), Millis(1000) }) {
      RequestPacer pacer;
      pacer.SetRate(rate, kStart);
      const auto starts = Flood(pacer, wait);
      CAPTURE(rate);
      constexpr double kRunS = kRunMs / 1000.0;
      CHECK(static_cast<double>(starts.size()) >= rate * kRunS - 2.0);
      CHECK(static_cast<double>(starts.size()) <= rate * (kRunS + 1.0) + 1.0);
      CHECK(WorstWindow(starts) <= rate * kWindowS + 1.0);
    }
  }
}

TEST_CASE("A bucket starts empty")
{
  RequestPacer pacer;
  pacer.SetRate(1.0, kStart);
  CHECK_FALSE(pacer.Reserve(Millis(0), kStart + Millis(990)));
  CHECK(pacer.Reserve(Millis(0), kStart + Millis(1010)));
}

TEST_CASE("A burst after a pause is small")
{
  RequestPacer pacer;
  pacer.SetRate(1.0, kStart);
  const auto later = kStart + Millis(600'000);
  CHECK(pacer.Unused(later) > 500.0);
  int passed = 0;
  while (pacer.Reserve(Millis(0), later)) {
    ++passed;
  }
  CHECK(passed == 2);
}

TEST_CASE("A returned reservation is used by the next request")
{
  RequestPacer pacer;
  pacer.SetRate(1.0, kStart);
  CHECK(pacer.Reserve(Millis(2000), kStart) == kStart + Millis(1000));
  CHECK(pacer.Reserve(Millis(5000), kStart) == kStart + Millis(2000));
  pacer.Return();
  CHECK(pacer.Reserve(Millis(5000), kStart) == kStart + Millis(2000));
}

// A request that starts, and the rate in force at that time.
struct Start
{
  TimePoint mAt;
  double mRate = 0.0;
};

// Replays random rates that change at random times, pauses as of a stopped
// process, bursts and waiting requests. The bound is the users' with the
// highest rate of the window, but without its factor. Requests may start at the
// instant at which the rate changes; the rate before that was in force for
// them, though it has no part of the window that begins with them.
TEST_CASE("No window of four seconds has more than its rates allow")
{
  CHECK(rc::check([] {
    RequestPacer pacer;
    std::vector<Start> starts;
    std::vector<std::pair<TimePoint, double>> rates;
    auto now = kStart;
    const auto setRate = [&] {
      rates.emplace_back(now, Draw(20, 5000) / 100.0);
      pacer.SetRate(rates.back().second, now);
      // The owner rejects requests that still wait for their start time.
      std::erase_if(starts,
                    [&](const Start& aStart) { return aStart.mAt > now; });
    };
    setRate();
    for (int step = 0; step < 400; ++step) {
      switch (Draw(0, 12)) {
        case 0:
          setRate();
          break;
        case 1:
          now += Millis(Draw(1000, 9000)); // a pause
          break;
        default:
          now += Millis(Draw(0, 60));
          break;
      }
      for (int i = Draw(0, 5); i > 0; --i) {
        if (const auto at = pacer.Reserve(Millis(Draw(0, 400)), now)) {
          starts.push_back(
            { .mAt = std::max(*at, now), .mRate = pacer.Rate() });
        }
      }
    }
    for (const auto& firstStart : starts) {
      const auto first = firstStart.mAt;
      double allowed = 0.0;
      double highest = 0.0;
      for (std::size_t i = 0; i < rates.size(); ++i) {
        const auto from = std::max(rates[i].first, first);
        const auto to = i + 1 < rates.size()
                          ? std::min(rates[i + 1].first, first + kWindow)
                          : first + kWindow;
        if (from < to) {
          allowed +=
            rates[i].second * std::chrono::duration<double>(to - from).count();
          highest = std::max(highest, rates[i].second);
        }
      }
      int count = 0;
      for (const auto& start : starts) {
        if (start.mAt >= first && start.mAt < first + kWindow) {
          ++count;
          highest = std::max(highest, start.mRate);
        }
      }
      // The burst, and requests whose waits end together after a pause.
      RC_ASSERT(static_cast<double>(count) <=
                allowed + std::max(3.0, 0.6 * highest + 1.0));
    }
  }));
}
