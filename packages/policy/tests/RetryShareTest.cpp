#include "porttiller/policy/RetryShare.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr int kHomes = 266;
constexpr int kSeconds = 40;
constexpr int kWindowS = 10;
constexpr double kPerHome = 6.0;     // first attempts a second
constexpr double kNeedRepeat = 0.07; // of all requests
constexpr int kHomesAsked = 4;       // by one repeat
const RetryBound kFleet{ .mShare = 0.2, .mBurst = 630.0 };

struct Replay
{
  double mTurnedAway = 0.0;  // share of the requests that need a repeat
  double mMostOfBound = 0.0; // of any window, used over allowed
};

// 1,600 requests a second over 266 homes; each that fails asks up to four homes
// for a repeat, as entries do.
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
  const int perSecond = static_cast<int>(kHomes * kPerHome);
  std::vector<int> repeats(kSeconds);
  int needed = 0;
  int refused = 0;
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < perSecond; ++i) {
      const TimePoint now{ Millis(second * 1000 + i * 1000 / perSecond) };
      homes[any(random)].OnFirstAttempt(now);
      if (uniform(random) >= kNeedRepeat) {
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
  Replay replay{ .mTurnedAway = static_cast<double>(refused) / needed };
  const double allowed = kFleet.mShare * perSecond * kWindowS + kFleet.mBurst;
  for (std::size_t from = 0; from + kWindowS <= repeats.size(); ++from) {
    int used = 0;
    for (std::size_t i = from; i < from + kWindowS; ++i) {
      used += repeats[i];
    }
    replay.mMostOfBound = std::max(replay.mMostOfBound, used / allowed);
  }
  return replay;
}

} // namespace

TEST_CASE("Spells at hundreds of homes find the repeats that the fleet allows")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const auto replay = RunReplay(HomeShareOf(UsedOf(kFleet), kHomes), seed);
    CHECK(replay.mTurnedAway < 0.01);
    CHECK(replay.mMostOfBound < 1.0);
  }
}

TEST_CASE("A service's own burst, dealt out over hundreds of homes, is too "
          "small for any")
{
  // As it was: a default of 50 for a service also bound a fleet that allows
  // 630.
  const auto tight = Tighter(UsedOf(kFleet), { .mShare = 0.2, .mBurst = 50.0 });
  CHECK(tight.mBurst == 50.0);
  CHECK(HomeShareOf(tight, kHomes).mBurst < 1.0);
  CHECK(RunReplay(HomeShareOf(tight, kHomes), 1).mTurnedAway >
        RunReplay(HomeShareOf(UsedOf(kFleet), kHomes), 1).mTurnedAway);
}

TEST_CASE("However much is asked, all homes together stay within the bound")
{
  auto home = HomeShareOf(UsedOf(kFleet), kHomes);
  const double perSecond = kHomes * kPerHome;
  const double most = kHomes * home.mBurst +
                      home.mSavedShare * perSecond * kWindowS +
                      home.mShare * perSecond * kWindowS;
  CHECK(most < kFleet.mShare * perSecond * kWindowS + kFleet.mBurst);
}
