#include "porttiller/policy/HedgePolicy.h"

#include "porttiller/policy/RetryShare.h"
#include "porttiller/policy/RouteTimes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <queue>
#include <random>
#include <vector>

using namespace porttiller;

namespace {

constexpr int kHomes = 35;
constexpr int kRequestsPerS = 175; // five for each home
constexpr Millis kQuiet{ 20'000 };
constexpr Millis kRejecting{ 8'500 };
constexpr Millis kTimeLimit{ 12'000 };
constexpr double kRejectedShare = 0.55;  // of the attempts that a server gets
constexpr double kRepeatableShare = 0.7; // of all requests
constexpr double kSheddableShare = 0.2;
constexpr double kMeanS = 1.1;
constexpr double kTailShare = 0.03;
constexpr double kTailFactor = 7.0;
constexpr int kMaxHomesTried = 4; // for one retry
constexpr int kMaxServers = 3;    // for one request
const RetryBound kFleet{ .mShare = 0.2, .mBurst = 208.0 };

struct Load
{
  double mSigma = 0.5; // of the logarithm of service times
  Millis mTarget{ 4000 };
  double mRepeatableShare = kRepeatableShare;
  bool mLong = true; // the rules for long requests apply
};

struct Figures
{
  int mHedgesInQuiet = 0;
  double mFillAtRejection = 0.0; // mean over the homes
  int mRetries = 0;              // of rejected requests
  // Rejected requests, and those of them that a retry served: [0] urgent ones,
  // [1] sheddable ones.
  std::array<int, 2> mNeeded{};
  std::array<int, 2> mServed{};

  double ServedShare(bool aSheddable) const
  {
    const std::size_t kind = aSheddable ? 1 : 0;
    return static_cast<double>(mServed.at(kind)) / mNeeded.at(kind);
  }
};

// A running request whose attempt is due for a hedge.
struct DueHedge
{
  TimePoint mAt;
  TimePoint mArrival;
  TimePoint mEnd; // of its attempt
  int mHedges = 0;

  bool operator>(const DueHedge& aOther) const { return mAt > aOther.mAt; }
};

// A service with 35 homes whose servers run every request for 20 s, and then
// reject more than half of all attempts for 8.5 s.
class Replay
{
public:
  Replay(const Load& aLoad, unsigned aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
    , mHomes(kHomes, RetryBudget(HomeShareOf(UsablePartOf(kFleet), kHomes)))
  {
    for (int i = 0; i < 1000; ++i) {
      mTimes.Observe("route", ServiceTime());
    }
  }

  Figures Run()
  {
    const int requests =
      static_cast<int>((kQuiet + kRejecting).count()) * kRequestsPerS / 1000;
    bool quiet = true;
    for (int i = 0; i < requests; ++i) {
      const TimePoint now{ Micros(1'000'000LL * i / kRequestsPerS) };
      RunHedges(now);
      if (quiet && now >= TimePoint(kQuiet)) {
        quiet = false;
        for (const auto& home : mHomes) {
          mFigures.mFillAtRejection += home.FillLevel() / kHomes;
        }
      }
      Any().OnFirstAttempt(now);
      if (!quiet && Draw() < kRejectedShare) {
        Retry(Draw() < kSheddableShare);
      } else if (Draw() < mLoad.mRepeatableShare) {
        Push({ .mArrival = now, .mEnd = now + ServiceTime() }, now, false);
      }
      mFigures.mHedgesInQuiet = quiet ? mHedges : mFigures.mHedgesInQuiet;
    }
    return mFigures;
  }

private:
  double Draw() { return std::uniform_real_distribution<double>()(mRandom); }
  RetryBudget& Any() { return mHomes[mRandom() % kHomes]; }

  Micros ServiceTime()
  {
    const double sigma = mLoad.mSigma;
    const double mu = std::log(kMeanS) - sigma * sigma / 2.0;
    double seconds = std::lognormal_distribution<double>(mu, sigma)(mRandom);
    seconds *= Draw() < kTailShare ? kTailFactor : 1.0;
    return Micros(static_cast<Micros::rep>(seconds * 1e6));
  }

  void Push(DueHedge aDue, TimePoint aNow, bool aWithheld)
  {
    aDue.mAt =
      aNow +
      HedgeDelayOf({ .mLatencyP90 = mTimes.LatencyP90("route"),
                     .mTotalTime = kTimeLimit,
                     .mElapsed = aNow - aDue.mArrival,
                     .mLongTarget = mLoad.mLong ? std::optional(mLoad.mTarget)
                                                : std::nullopt,
                     .mWithheld = aWithheld });
    if (aDue.mAt < std::min(aDue.mEnd, aDue.mArrival + kTimeLimit)) {
      mDue.push(aDue);
    }
  }

  bool Take(RetryUse aUse)
  {
    auto& home = Any();
    const bool admitted = home.Admits(mLoad.mLong ? aUse : RetryUse::kAny);
    if (admitted) {
      home.Spend();
    }
    return admitted;
  }

  void RunHedges(TimePoint aNow)
  {
    while (!mDue.empty() && mDue.top().mAt <= aNow) {
      auto due = mDue.top();
      mDue.pop();
      const bool admitted = Take(RetryUse::kHedge);
      if (admitted) {
        ++mHedges;
        due.mEnd = std::min(due.mEnd, due.mAt + ServiceTime());
        ++due.mHedges;
      }
      if (due.mHedges + 1 < kMaxServers) {
        Push(due, due.mAt, !admitted);
      }
    }
  }

  void Retry(bool aSheddable)
  {
    const std::size_t kind = aSheddable ? 1 : 0;
    ++mFigures.mNeeded.at(kind);
    const auto use = aSheddable ? RetryUse::kSheddable : RetryUse::kAny;
    for (int servers = 1; servers < kMaxServers; ++servers) {
      int tried = 0;
      while (tried < kMaxHomesTried && !Take(use)) {
        ++tried;
      }
      if (tried == kMaxHomesTried) {
        return;
      }
      ++mFigures.mRetries;
      if (Draw() >= kRejectedShare) {
        ++mFigures.mServed.at(kind);
        return;
      }
    }
  }

  const Load mLoad;
  std::mt19937_64 mRandom;
  std::vector<RetryBudget> mHomes;
  RouteTimes mTimes;
  std::priority_queue<DueHedge, std::vector<DueHedge>, std::greater<>> mDue;
  int mHedges = 0;
  Figures mFigures;
};

struct Comparison
{
  Figures mBefore; // without the rules for long requests
  Figures mNow;    // with them
};

// Sums, and the mean fill level, of ten replays.
Comparison
Compare(double aSigma, Millis aTarget, double aRepeatableShare)
{
  constexpr unsigned kSeeds = 10;
  Comparison sums;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    for (const bool isLong : { false, true }) {
      const Load load{ .mSigma = aSigma,
                       .mTarget = aTarget,
                       .mRepeatableShare = aRepeatableShare,
                       .mLong = isLong };
      const auto figures = Replay(load, seed).Run();
      auto& sum = isLong ? sums.mNow : sums.mBefore;
      sum.mHedgesInQuiet += figures.mHedgesInQuiet;
      sum.mFillAtRejection += figures.mFillAtRejection / kSeeds;
      sum.mRetries += figures.mRetries;
      for (const std::size_t kind : { 0, 1 }) {
        sum.mNeeded.at(kind) += figures.mNeeded.at(kind);
        sum.mServed.at(kind) += figures.mServed.at(kind);
      }
    }
  }
  return sums;
}

} // namespace

TEST_CASE("A request that is not long is hedged after the 90th percentile")
{
  // Guards against a change for services without long requests: the same
  // delays as before the rules, whatever else is known.
  HedgeTiming timing{ .mLatencyP90 = Millis(300), .mTotalTime = Millis(4000) };
  CHECK(HedgeDelayOf(timing) == Millis(300));
  timing.mElapsed = Millis(2000);
  timing.mWithheld = true;
  CHECK(HedgeDelayOf(timing) == Millis(300));
  timing.mLatencyP90 = Millis(10);
  CHECK(HedgeDelayOf(timing) == Millis(50));
  timing.mLatencyP90 = Micros(0);
  CHECK(HedgeDelayOf(timing) == Millis(1000));
}

TEST_CASE("A long request is hedged when a hedge still ends within the target")
{
  HedgeTiming timing{ .mLatencyP90 = Millis(1000),
                      .mTotalTime = Millis(12'000),
                      .mLongTarget = Millis(4000) };
  CHECK(HedgeDelayOf(timing) == Millis(3000));
  // The target counts from the arrival of the request, not from this attempt.
  timing.mElapsed = Millis(1500);
  CHECK(HedgeDelayOf(timing) == Millis(1500));
  // Never sooner than the 90th percentile.
  timing.mElapsed = Millis(2500);
  CHECK(HedgeDelayOf(timing) == Millis(1000));
  timing.mElapsed = Millis(0);
  timing.mLatencyP90 = Millis(5000);
  CHECK(HedgeDelayOf(timing) == Millis(5000));
  // The caller's deadline comes before the target.
  timing.mLatencyP90 = Millis(1000);
  timing.mTotalTime = Millis(3000);
  CHECK(HedgeDelayOf(timing) == Millis(2000));
}

TEST_CASE("Without a known latency a long request is hedged at half its target")
{
  HedgeTiming timing{ .mTotalTime = Millis(12'000),
                      .mLongTarget = Millis(8000) };
  CHECK(HedgeDelayOf(timing) == Millis(4000));
  timing.mLongTarget = Millis(2000);
  CHECK(HedgeDelayOf(timing) == Millis(3000)); // as if it were not long
}

TEST_CASE("A withheld hedge of a long request waits for half the target")
{
  HedgeTiming timing{ .mLatencyP90 = Millis(500),
                      .mTotalTime = Millis(12'000),
                      .mElapsed = Millis(3500),
                      .mLongTarget = Millis(4000),
                      .mWithheld = true };
  CHECK(HedgeDelayOf(timing) == Millis(2000));
  timing.mLatencyP90 = Millis(2500);
  CHECK(HedgeDelayOf(timing) == Millis(2500));
}

TEST_CASE("Hedges of quiet time leave the budget to a general rejection")
{
  // Guards against hedges that spend, while nothing fails, the retries that the
  // fleet may make when all servers reject more than half of the attempts.
  for (const double sigma : { 0.3, 0.5, 0.8 }) {
    for (const auto target : { Millis(2000), Millis(4000), Millis(8000) }) {
      const auto figures = Compare(sigma, target, kRepeatableShare);
      const auto& before = figures.mBefore;
      const auto& now = figures.mNow;
      CAPTURE(sigma);
      CAPTURE(target.count());
      CAPTURE(before.mFillAtRejection);
      CAPTURE(now.mFillAtRejection);
      CHECK(now.mFillAtRejection > before.mFillAtRejection + 0.01);
      CHECK(now.mFillAtRejection > 0.7);
      CHECK(now.mHedgesInQuiet < before.mHedgesInQuiet);
      CHECK(now.mRetries > before.mRetries);
    }
    // A target of more than twice the 90th percentile leaves time to wait.
    CHECK(Compare(sigma, Millis(8000), kRepeatableShare).mNow.mFillAtRejection >
          0.95);
  }
}

TEST_CASE("However many requests are hedged, half of the budget is left")
{
  // Every request is repeatable, and the target is so tight that each is hedged
  // after the 90th percentile, as before.
  for (const double sigma : { 0.3, 0.5, 0.8 }) {
    const auto figures = Compare(sigma, Millis(1000), 1.0);
    const auto& before = figures.mBefore;
    const auto& now = figures.mNow;
    CAPTURE(sigma);
    CAPTURE(before.mFillAtRejection);
    CHECK(now.mFillAtRejection > 0.5);
    CHECK(now.mRetries > before.mRetries);
  }
}

TEST_CASE("Urgent retries are served when sheddable ones have used their part")
{
  // Guards against sheddable requests, a fifth of all here, that take as many
  // of the last retries as their number allows.
  for (const double sigma : { 0.3, 0.5, 0.8 }) {
    const auto figures = Compare(sigma, Millis(4000), kRepeatableShare);
    const auto& before = figures.mBefore;
    const auto& now = figures.mNow;
    CAPTURE(sigma);
    CHECK(now.ServedShare(false) > 1.05 * before.ServedShare(false));
    CHECK(now.ServedShare(false) > 1.5 * now.ServedShare(true));
    CHECK(now.mServed[1] > 0); // they are not locked out
  }
}
