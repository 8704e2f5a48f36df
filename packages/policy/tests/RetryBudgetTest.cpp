#include "porttiller/policy/RetryBudget.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };

} // namespace

TEST_CASE("RetryBudget keeps retries to its share")
{
  RetryBudget budget({ .mShare = 0.1, .mBurst = 2.0 });
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt(kStart);
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries >= 95);
  CHECK(retries <= 102);
}

TEST_CASE("RetryBudget lets a busy entry save retries for a burst of failures")
{
  // Guards against a budget without saved retries: a fleet's burst divided
  // among 79 entries leaves each less than two, so that many requests end after
  // one attempt although most of the fleet's budget is unused.
  RetryBudget budget({ .mShare = 0.1, .mBurst = 1.5, .mSavedShare = 0.05 });
  auto now = kStart;
  for (int i = 0; i < 500; ++i) {
    now += Millis(100);
    budget.OnFirstAttempt(now);
  }
  CHECK(budget.Affords(6));
  CHECK_FALSE(budget.Affords(7));
  // Saved retries decay during an hour without requests.
  budget.OnFirstAttempt(now + Millis(3'600'000));
  CHECK_FALSE(budget.Affords(2));
}

TEST_CASE("RetryBudget: no window holds more than its share and the burst")
{
  std::mt19937_64 random(7);
  const RetryBudgetOptions options{ .mShare = 0.1,
                                    .mBurst = 3.0,
                                    .mSavedShare = 0.05 };
  for (int run = 0; run < 50; ++run) {
    RetryBudget budget(options);
    std::deque<TimePoint> firsts;
    std::deque<TimePoint> retries;
    auto now = kStart;
    const auto maxGap = 1 + static_cast<int>(random() % 200);
    for (int i = 0; i < 3000; ++i) {
      now += Millis(random() % static_cast<std::uint64_t>(maxGap));
      budget.OnFirstAttempt(now);
      firsts.push_back(now);
      const bool failing = i / 300 % 2 == 1;
      while (failing && random() % 2 == 0 && budget.TryRetry()) {
        retries.push_back(now);
      }
      const auto recent = [&](const std::deque<TimePoint>& aTimes, int aSpans) {
        return static_cast<double>(
          std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aTime) {
            return aTime > now - aSpans * options.mWindow;
          }));
      };
      if (i % 50 != 0) {
        continue;
      }
      // Saved retries come from requests of up to a few windows before.
      const double allowed = options.mBurst +
                             options.mShare * recent(firsts, 1) +
                             options.mSavedShare * recent(firsts, 6);
      CHECK(recent(retries, 1) <= allowed + 1.0);
    }
  }
}

TEST_CASE("RetryBudget leaves half to retries when hedges have used the rest")
{
  // Guards against hedges that empty the budget before requests fail.
  RetryBudget budget({ .mBurst = 8.0 });
  int hedges = 0;
  while (budget.Admits(RetryUse::kHedge)) {
    budget.Spend();
    ++hedges;
  }
  CHECK(hedges == 4);
  CHECK(budget.FillLevel() == doctest::Approx(0.5));
  CHECK(budget.Admits(RetryUse::kSheddable));
  CHECK(budget.Admits(RetryUse::kAny));
}

TEST_CASE("RetryBudget has retries for urgent requests after sheddable ones")
{
  // Guards against a last quarter of less than one retry, which is what a home
  // with a small budget would be left with if the quarter were counted before
  // the retry is taken.
  for (const double burst : { 4.0, 5.0, 6.5, 7.9, 20.0 }) {
    CAPTURE(burst);
    RetryBudget budget({ .mBurst = burst });
    int sheddable = 0;
    while (budget.Admits(RetryUse::kSheddable)) {
      budget.Spend();
      ++sheddable;
    }
    CHECK(sheddable >= burst / 2.0);
    CHECK(budget.FillLevel() >= 0.25);
    CHECK(budget.TryRetry());
  }
}

TEST_CASE("RetryBudget admits any retry while it is over half full")
{
  for (const double burst : { 1.0, 1.5, 2.0, 3.0, 4.0 }) {
    CAPTURE(burst);
    RetryBudget budget({ .mBurst = burst });
    // A full budget of fewer than two retries admits a hedge, too.
    CHECK(budget.Admits(RetryUse::kHedge));
    while (budget.FillLevel() > 0.5 && budget.Affords(1)) {
      CHECK(budget.Admits(RetryUse::kSheddable));
      budget.Spend();
    }
  }
}

TEST_CASE("RetryBudget admits nothing once it is spent")
{
  RetryBudget budget({ .mBurst = 2.0 });
  budget.Spend();
  budget.Spend();
  budget.Spend(); // admitted while another one waited
  for (const auto use :
       { RetryUse::kAny, RetryUse::kSheddable, RetryUse::kHedge }) {
    CHECK_FALSE(budget.Admits(use));
  }
  CHECK(budget.FillLevel() < 0.0);
  CHECK(RetryBudget({ .mBurst = 0.0 }).FillLevel() == 0.0);
}
