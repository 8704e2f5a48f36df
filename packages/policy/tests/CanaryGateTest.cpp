#include "porttiller/policy/CanaryGate.h"

#include "porttiller/policy/CircuitBreaker.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(100'000) };
const TimePoint kUntil = kStart + Millis(300);
constexpr Millis kProof{ 30 };
constexpr Millis kValid{ 100 };

AttemptId
Attempt(std::uint64_t aNumber)
{
  return { BoxName("a"), Incarnation(1), aNumber };
}

} // namespace

TEST_CASE("CanaryGate: a response is a signal for 100 ms")
{
  CanaryGate gate;
  CHECK_FALSE(gate.IsOpen(kStart));
  gate.OnSent(Attempt(1), kStart);
  gate.OnEnded(Attempt(1), true, kStart + Millis(5));
  CHECK(gate.IsOpen(kStart + Millis(5)));
  CHECK(gate.Decide(kUntil, kStart + Millis(5)) == GateVerdict::kOpen);
  CHECK(gate.IsOpen(kStart + Millis(5) + kValid - Millis(1)));
  CHECK_FALSE(gate.IsOpen(kStart + Millis(5) + kValid));
}

TEST_CASE("CanaryGate: a request is a signal once it has run for 30 ms")
{
  CanaryGate gate;
  gate.OnSent(Attempt(1), kStart);
  CHECK(gate.Decide(kUntil, kStart) == GateVerdict::kHold);
  CHECK(gate.NextDecision(kUntil, kStart) == kStart + kProof);
  CHECK_FALSE(gate.IsOpen(kStart + kProof - Millis(1)));
  CHECK(gate.IsOpen(kStart + kProof));
  // Guards against a signal that remains valid while its request runs: it was
  // sent before an episode that began since.
  CHECK(gate.IsOpen(kStart + kProof + kValid - Millis(1)));
  CHECK_FALSE(gate.IsOpen(kStart + kProof + kValid));
}

TEST_CASE("CanaryGate: a response to an older request is no signal")
{
  // Guards against requests being released into an episode by the responses to
  // requests from before it.
  CanaryGate gate;
  gate.OnSent(Attempt(1), kStart);
  gate.OnEnded(Attempt(1), true, kStart + Millis(1100));
  CHECK_FALSE(gate.IsOpen(kStart + Millis(1100)));
}

TEST_CASE("CanaryGate: a request that ends early without response is no signal")
{
  CanaryGate gate;
  gate.OnSent(Attempt(1), kStart);
  gate.OnEnded(Attempt(1), false, kStart + Millis(29));
  CHECK_FALSE(gate.IsOpen(kStart + Millis(29)));
  CHECK_FALSE(gate.IsOpen(kStart + kProof));

  gate.OnSent(Attempt(2), kStart + Millis(50));
  gate.OnEnded(Attempt(2), false, kStart + Millis(90));
  CHECK(gate.IsOpen(kStart + Millis(90)));
  CHECK_FALSE(gate.IsOpen(kStart + Millis(80) + kValid));
}

TEST_CASE("CanaryGate: the wait is a tenth of the target, at most 500 ms")
{
  const CanaryGate gate;
  CHECK(gate.MaxWait(Millis(500)) == Millis(50));
  CHECK(gate.MaxWait(Millis(4000)) == Millis(400));
  CHECK(gate.MaxWait(Millis(8000)) == Millis(500));
}

TEST_CASE("CanaryGate: one request goes as canary, the others await its signal")
{
  CanaryGate gate;
  CHECK(gate.Decide(kUntil, kStart) == GateVerdict::kHold);
  const auto due = gate.NextDecision(kUntil, kStart);
  CHECK(due == kUntil - kProof);
  CHECK(gate.Decide(kUntil, due - Millis(1)) == GateVerdict::kHold);
  CHECK(gate.Decide(kUntil, due) == GateVerdict::kCanary);
  gate.OnSent(Attempt(1), due);
  CHECK(gate.Decide(kUntil, due) == GateVerdict::kHold);

  SUBCASE("until it has run for 30 ms")
  {
    CHECK(gate.Decide(kUntil, kUntil - Millis(1)) == GateVerdict::kHold);
    CHECK(gate.Decide(kUntil, kUntil) == GateVerdict::kOpen);
  }
  SUBCASE("until it ends without a response")
  {
    gate.OnEnded(Attempt(1), false, due + Millis(2));
    CHECK(gate.Decide(kUntil, due + Millis(2)) == GateVerdict::kCanary);
  }
}

TEST_CASE("CanaryGate: requests that end early hold others for a limited time")
{
  // Guards against a wait without end while the connections to a server are
  // used up: each request ends at once, as not sent.
  CanaryGate gate;
  auto now = kStart;
  std::uint64_t number = 0;
  while (gate.Decide(kUntil, now) == GateVerdict::kHold) {
    REQUIRE(now < kUntil + kProof);
    const auto next = gate.NextDecision(kUntil, now);
    REQUIRE(next > now);
    gate.OnSent(Attempt(number), now);
    gate.OnEnded(Attempt(number - 1), false, now);
    ++number;
    now += Millis(1);
  }
  CHECK(now == kUntil + kProof);
}

namespace {

// The load that the gate is for, in steps of 1 ms. A server resets 85% of the
// requests that it is sent in the first 2.7 s of every 9 s. It gets a
// repeatable request every 500 ms and an unrepeatable one every 300 ms on
// average, which take 1.1 s (log-normal, sigma 0.4) and have a target of 4 s.
// The breaker is the one of the homes.
class Replay
{
public:
  Replay(std::uint64_t aSeed, bool aUsesGate)
    : mRandom(aSeed)
    , mUsesGate(aUsesGate)
  {
  }

  struct Result
  {
    int mSent = 0;   // unrepeatable requests
    int mLost = 0;   // of them
    int mWaited = 0; // of them
    Millis mWaits{ 0 };
    Millis mLongestWait{ 0 };
  };

  Result Run(int aEpisodes)
  {
    for (Millis time{ 0 }; time < aEpisodes * kCycle; time += Millis(1)) {
      Step(kStart + time, time % kCycle < kEpisode);
    }
    return mResult;
  }

private:
  static constexpr Millis kCycle{ 9000 };
  static constexpr Millis kEpisode{ 2700 };
  static constexpr Millis kResetTime{ 2 };
  static constexpr Millis kTarget{ 4000 };
  static constexpr double kResetShare = 0.85;

  struct Running
  {
    AttemptId mAttempt;
    TimePoint mSent;
    TimePoint mEnd;
    bool mReset;
    bool mRepeatable;
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(mRandom) < aShare;
  }

  Millis ServiceTime()
  {
    constexpr double kMeanMs = 1100.0;
    constexpr double kSigma = 0.4;
    const double mu = std::log(kMeanMs) - kSigma * kSigma / 2;
    std::lognormal_distribution<> distribution(mu, kSigma);
    return Millis(static_cast<Millis::rep>(distribution(mRandom)));
  }

  void Step(TimePoint aNow, bool aFails)
  {
    std::erase_if(mRunning, [&](const Running& aRequest) {
      if (aRequest.mEnd > aNow) {
        return false;
      }
      mGate.OnEnded(aRequest.mAttempt, !aRequest.mReset, aNow);
      if (aRequest.mReset) {
        mBreaker.OnFailure(aNow);
        mResult.mLost += aRequest.mRepeatable ? 0 : 1;
      } else {
        mBreaker.OnSuccess(aRequest.mSent);
      }
      return true;
    });
    const bool demoted = mBreaker.State() != BreakerState::kClosed;
    if (demoted) {
      mHeld.clear(); // rejected, and tried elsewhere
    }
    if (Chance(1.0 / 500) && mBreaker.Admit(true, false, aNow)) {
      Send(true, aFails, aNow);
    }
    if (Chance(1.0 / 300) && mBreaker.Admit(false, false, aNow)) {
      mHeld.push_back(aNow);
    }
    while (!mHeld.empty()) {
      const auto until = mHeld.front() + mGate.MaxWait(kTarget);
      if (mUsesGate && !demoted &&
          mGate.Decide(until, aNow) == GateVerdict::kHold) {
        break;
      }
      const auto wait =
        std::chrono::duration_cast<Millis>(aNow - mHeld.front());
      mResult.mWaited += wait > Millis(0) ? 1 : 0;
      mResult.mWaits += wait;
      mResult.mLongestWait = std::max(mResult.mLongestWait, wait);
      mHeld.erase(mHeld.begin());
      ++mResult.mSent;
      Send(false, aFails, aNow);
    }
  }

  void Send(bool aRepeatable, bool aFails, TimePoint aNow)
  {
    const bool reset = aFails && Chance(kResetShare);
    const auto attempt = Attempt(mNumber++);
    mGate.OnSent(attempt, aNow);
    mRunning.push_back({ attempt,
                         aNow,
                         aNow + (reset ? kResetTime : ServiceTime()),
                         reset,
                         aRepeatable });
  }

  std::mt19937_64 mRandom;
  const bool mUsesGate;
  CanaryGate mGate;
  CircuitBreaker mBreaker;
  std::vector<Running> mRunning;
  std::vector<TimePoint> mHeld; // arrivals, oldest first
  std::uint64_t mNumber = 1;
  Result mResult;
};

} // namespace

TEST_CASE("CanaryGate: fewer unrepeatable requests are lost in episodes")
{
  // A repeatable request comes within the wait of 370 ms in half of the cases,
  // so the gate cannot prevent the other half of the losses at this load.
  constexpr int kEpisodes = 400;
  int lostWithout = 0;
  int lostWith = 0;
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    const auto without = Replay(seed, false).Run(kEpisodes);
    const auto with = Replay(seed, true).Run(kEpisodes);
    lostWithout += without.mLost;
    lostWith += with.mLost;
    MESSAGE("seed " << seed << ", " << kEpisodes << " episodes: lost "
                    << without.mLost << " of " << without.mSent << " without, "
                    << with.mLost << " of " << with.mSent << " with the gate, "
                    << with.mWaited << " waited for "
                    << with.mWaits.count() / std::max(1, with.mWaited)
                    << " ms on average");
    CHECK(without.mWaited == 0);
    CHECK(with.mLongestWait <= Millis(400));
  }
  CHECK(lostWith < lostWithout);
}
