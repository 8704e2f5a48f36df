#include "porttiller/policy/Detector.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr Millis kGap{ 59 }; // 17 requests a second

// Requests until the alarm, at most aMost.
template<typename Draw>
int
RequestsToAlarm(Detector& aDetector, int aMost, Draw aDraw)
{
  for (int i = 1; i <= aMost; ++i) {
    aDetector.Observe(aDraw(), true, TimePoint(i * kGap));
    if (aDetector.Suspicious()) {
      return i;
    }
  }
  return aMost + 1;
}

Evidence
Answer(std::mt19937_64& aRandom, double aFailureRate, double aMillis)
{
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  std::lognormal_distribution<double> spread(0.0, 0.4);
  return { .mFailed = uniform(aRandom) < aFailureRate,
           .mLatency =
             Micros(static_cast<int>(1000 * aMillis * spread(aRandom))) };
}

} // namespace

TEST_CASE("A half-failing server is found within two seconds of 17 a second")
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    std::mt19937_64 random(seed);
    Detector detector({ .mThreshold = 12.0 });
    CHECK(RequestsToAlarm(
            detector, 1000, [&] { return Answer(random, 0.5, 10.0); }) <= 34);
  }
}

TEST_CASE("Background errors of one in a thousand raise no alarm")
{
  for (const double threshold : { 12.0, 24.0 }) {
    std::mt19937_64 random(7);
    Detector detector({ .mThreshold = threshold });
    CHECK(RequestsToAlarm(detector, 300'000, [&] {
            return Answer(random, 0.001, 10.0);
          }) == 300'001);
  }
}

TEST_CASE("A server that turns slow is found by its own median")
{
  std::mt19937_64 random(3);
  Detector detector({ .mThreshold = 24.0 });
  for (int i = 0; i < 500; ++i) {
    detector.Observe(Answer(random, 0.0, 10.0), true, TimePoint(i * kGap));
  }
  CHECK_FALSE(detector.Suspicious());
  CHECK(RequestsToAlarm(
          detector, 100, [&] { return Answer(random, 0.0, 80.0); }) <= 20);
  CHECK(detector.OnlySlow());
  CHECK(detector.RecentLatency() > 4 * detector.MedianLatency());
}

TEST_CASE("One failing kind of calls in ten is found by its own sum")
{
  std::mt19937_64 random(5);
  Detector detector({ .mThreshold = 24.0 });
  std::uint32_t call = 0;
  CHECK(RequestsToAlarm(detector, 1000, [&] {
          call = (call + 1) % 10;
          auto answer = Answer(random, 0.0, 10.0);
          answer.mClass = call;
          answer.mFailed = call == 0;
          return answer;
        }) <= 60);
}
