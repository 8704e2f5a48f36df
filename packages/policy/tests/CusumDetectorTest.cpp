#include "porttiller/policy/CusumDetector.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr Millis kRequestInterval{ 59 }; // 17 requests per second

// Returns the number of requests until the alarm, or aMaxRequests + 1 if there
// is none.
template<typename Draw>
int
RequestsToAlarm(CusumDetector& aDetector, int aMaxRequests, Draw aDraw)
{
  for (int i = 1; i <= aMaxRequests; ++i) {
    aDetector.Observe(aDraw(), true, TimePoint(i * kRequestInterval));
    if (aDetector.Suspicious()) {
      return i;
    }
  }
  return aMaxRequests + 1;
}

Evidence
Answer(std::mt19937_64& aRandom, double aFailureRate, double aMillis)
{
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  std::lognormal_distribution<double> latencyFactor(0.0, 0.4);
  return { .mFailed = uniform(aRandom) < aFailureRate,
           .mLatency = Micros(
             static_cast<int>(1000 * aMillis * latencyFactor(aRandom))) };
}

} // namespace

TEST_CASE("At 17 requests per second a server that fails half of them is "
          "detected within two seconds")
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    std::mt19937_64 random(seed);
    CusumDetector detector({ .mThreshold = 12.0 });
    CHECK(RequestsToAlarm(
            detector, 1000, [&] { return Answer(random, 0.5, 10.0); }) <= 34);
  }
}

TEST_CASE("A background error rate of 0.1 percent raises no alarm")
{
  for (const double threshold : { 12.0, 24.0 }) {
    std::mt19937_64 random(7);
    CusumDetector detector({ .mThreshold = threshold });
    CHECK(RequestsToAlarm(detector, 300'000, [&] {
            return Answer(random, 0.001, 10.0);
          }) == 300'001);
  }
}

TEST_CASE("A server that turns slow is detected against its own median")
{
  std::mt19937_64 random(3);
  CusumDetector detector({ .mThreshold = 24.0 });
  for (int i = 0; i < 500; ++i) {
    detector.Observe(
      Answer(random, 0.0, 10.0), true, TimePoint(i * kRequestInterval));
  }
  CHECK_FALSE(detector.Suspicious());
  CHECK(RequestsToAlarm(
          detector, 100, [&] { return Answer(random, 0.0, 80.0); }) <= 20);
  CHECK(detector.OnlySlow());
  CHECK(detector.RecentLatency() > 4 * detector.MedianLatency());
}

TEST_CASE(
  "A failure of one request class in ten is detected by the sum of that class")
{
  std::mt19937_64 random(5);
  CusumDetector detector({ .mThreshold = 24.0 });
  std::uint32_t call = 0;
  CHECK(RequestsToAlarm(detector, 1000, [&] {
          call = (call + 1) % 10;
          auto answer = Answer(random, 0.0, 10.0);
          answer.mClass = call;
          answer.mFailed = call == 0;
          return answer;
        }) <= 60);
}
