#include "porttiller/policy/TurnInterval.h"

#include "porttiller/policy/RequestPacer.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace porttiller;

namespace {

constexpr int kRunMs = 60'000;
constexpr int kSettleMs = 20'000;
const TimePoint kStart{ Millis(1'000'000) };

struct Replay
{
  double mSentPerS = 0.0;
  double mRejectedPerS = 0.0;
};

// Boxes that always have a request for the server, and send it as soon as the
// interval allows.
Replay
RunReplay(std::size_t aBoxes, double aRate, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  RequestPacer pacer;
  TurnInterval interval;
  pacer.SetRate(aRate, kStart);
  interval.Start(aRate, aBoxes);
  const auto turn = [&](TimePoint aNow) {
    return aNow + Micros(static_cast<Micros::rep>(
                    jitter(random) * 1000.0 *
                    static_cast<double>(interval.Value().count())));
  };
  std::vector<TimePoint> turns;
  for (std::size_t i = 0; i < aBoxes; ++i) {
    turns.push_back(turn(kStart));
  }
  int sent = 0;
  int rejected = 0;
  for (int ms = 0; ms < kRunMs; ++ms) {
    const auto now = kStart + Millis(ms);
    for (auto& at : turns) {
      if (now < at) {
        continue;
      }
      interval.OnUnused(pacer.Unused(now));
      const bool passes = pacer.Reserve(Millis(0), now).has_value();
      if (!passes) {
        interval.OnRejected();
      }
      sent += ms >= kSettleMs && passes ? 1 : 0;
      rejected += ms >= kSettleMs && !passes ? 1 : 0;
      at = turn(now);
    }
  }
  constexpr double kCountedS = (kRunMs - kSettleMs) / 1000.0;
  return { .mSentPerS = sent / kCountedS,
           .mRejectedPerS = rejected / kCountedS };
}

} // namespace

TEST_CASE("Boxes that share a limited server use it and are seldom rejected")
{
  for (const std::size_t boxes : { 1U, 6U, 30U }) {
    for (const double rate : { 3.0, 10.0, 40.0 }) {
      const auto replay = RunReplay(boxes, rate, 1);
      CAPTURE(boxes);
      CAPTURE(rate);
      CHECK(replay.mSentPerS >= 0.6 * rate);
      CHECK(replay.mRejectedPerS <= 0.5 * rate);
    }
  }
}
