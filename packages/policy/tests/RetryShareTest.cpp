#include "porttiller/policy/RetryShare.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr int kHomes = 266;
constexpr int kSeconds = 40;
constexpr int kWindowS = 10;
constexpr double kHomeRequestsPerS = 6.0; // first attempts per second
constexpr double kRetriedShare = 0.07;    // of all requests
constexpr int kMaxHomesTried = 4;         // for one retry
const RetryBound kFleet{ .mShare = 0.2, .mBurst = 630.0 };

struct Replay
{
  double mRejectedShare = 0.0; // of the requests that need a retry
  double mMaxBoundUse = 0.0;   // retries over allowed retries in any window
};

// 1,600 requests per second over 266 homes; each that fails tries up to four
// homes for a retry, as entries do.
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
  std::vector<int> retries(kSeconds);
  int needed = 0;
  int rejected = 0;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < perSecond; ++i) {
      const TimePoint now{ Millis(second * 1000 + i * 1000 / perSecond) };
      homes[any(random)].OnFirstAttempt(now);
      if (uniform(random) >= kRetriedShare) {
        continue;
      }
      ++needed;
      int tried = 0;
      while (tried < kMaxHomesTried && !homes[any(random)].TryRetry()) {
        ++tried;
      }
      (tried < kMaxHomesTried ? retries[static_cast<std::size_t>(second)]
                              : rejected) += 1;
    }
  }
  Replay replay{ .mRejectedShare = static_cast<double>(rejected) / needed };
  const double allowed = kFleet.mShare * perSecond * kWindowS + kFleet.mBurst;
  for (std::size_t from = 0; from + kWindowS <= retries.size(); ++from) {
    int used = 0;
    for (std::size_t i = from; i < from + kWindowS; ++i) {
      used += retries[i];
    }
    replay.mMaxBoundUse = std::max(replay.mMaxBoundUse, used / allowed);
  }
  return replay;
}

} // namespace

TEST_CASE("Failures at hundreds of homes get the retries that the fleet allows")
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
  // home less than one retry.
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
