#include "porttiller/policy/RetryShare.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr int kHomes = 266;
constexpr int kSeconds = 40;
constexpr int kWindowS = 10;
constexpr double kHomeRequestsPerS = 6.0; // first attempts per second
constexpr double kRepeatShare = 0.07;     // of all requests
constexpr int kHomesAsked = 4;            // by one repeat
const RetryBound kFleet{ .mShare = 0.2, .mBurst = 630.0 };

struct Replay
{
  double mRejectedShare = 0.0; // of the requests that need a repeat
  double mMaxBoundUse = 0.0;   // repeats over allowed repeats in any window
};

// 1,600 requests per second over 266 homes; each that fails asks up to four
// homes for a repeat, as entries do.
Replay
RunReplay(const RetryBudgetOptions& aHome, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<RetryBudget> homes(kHomes, RetryBudget(aHome));
  for (auto& home : homes) {
    home.SetOptions(aHome);
  }
  std::uniform_real_distribution<double> uniform;
  std::uniform_int_distribution<std::size_t> any(0, kHomes - 1);
  const int perSecond = static_cast<int>(kHomes * kHomeRequestsPerS);
  std::vector<int> repeats(kSeconds);
  int needed = 0;
  int refused = 0;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < perSecond; ++i) {
      const TimePoint now{ Millis(second * 1000 + i * 1000 / perSecond) };
      homes[any(random)].OnFirstAttempt(now);
      if (uniform(random) >= kRepeatShare) {
        continue;
      }
      ++needed;
      int asked = 0;
      while (asked < kHomesAsked && !homes[any(random)].TryRetry()) {
        ++asked;
      }
      (asked < kHomesAsked ? repeats[static_cast<std::size_t>(second)]
                           : refused) += 1;
    }
  }
  Replay replay{ .mRejectedShare = static_cast<double>(refused) / needed };
  const double allowed = kFleet.mShare * perSecond * kWindowS + kFleet.mBurst;
  for (std::size_t from = 0; from + kWindowS <= repeats.size(); ++from) {
    int used = 0;
    for (std::size_t i = from; i < from + kWindowS; ++i) {
      used += repeats[i];
    }
    replay.mMaxBoundUse = std::max(replay.mMaxBoundUse, used / allowed);
  }
  return replay;
}

} // namespace

TEST_CASE("Failures at hundreds of homes get the repeats that the fleet allows")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const auto replay =
      RunReplay(HomeShareOf(UsablePartOf(kFleet), kHomes), seed);
    CHECK(replay.mRejectedShare < 0.01);
    CHECK(replay.mMaxBoundUse < 1.0);
  }
}

TEST_CASE(
  "A service's own burst, divided among hundreds of homes, is too small "
  "for any")
{
  // A service's burst of 50 also binds a fleet that allows 630, and leaves each
  // home less than one repeat.
  const auto tight =
    Tighter(UsablePartOf(kFleet), { .mShare = 0.2, .mBurst = 50.0 });
  CHECK(tight.mBurst == 50.0);
  CHECK(HomeShareOf(tight, kHomes).mBurst < 1.0);
  CHECK(RunReplay(HomeShareOf(tight, kHomes), 1).mRejectedShare >
        RunReplay(HomeShareOf(UsablePartOf(kFleet), kHomes), 1).mRejectedShare);
}

TEST_CASE("All homes together stay within the bound under any demand")
{
  auto home = HomeShareOf(UsablePartOf(kFleet), kHomes);
  const double perSecond = kHomes * kHomeRequestsPerS;
  const double most = kHomes * home.mBurst +
                      home.mSavedShare * perSecond * kWindowS +
                      home.mShare * perSecond * kWindowS;
  CHECK(most < kFleet.mShare * perSecond * kWindowS + kFleet.mBurst);
}
