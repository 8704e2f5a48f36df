#include "porttiller/policy/LatencyModel.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr int kSampleCount = 2000;
constexpr double kMedianMs = 430.0;
constexpr double kSigma = 0.7;
constexpr double kSigmasOf90th = 1.2816; // one in ten lies above

Micros
Draw(std::mt19937_64& aGenerator)
{
  std::lognormal_distribution<double> times(std::log(kMedianMs * 1000.0),
                                            kSigma);
  return Micros(static_cast<Micros::rep>(times(aGenerator)));
}

} // namespace

TEST_CASE("The model estimates the quantiles of the observed times")
{
  std::mt19937_64 generator(5);
  LatencyModel model;
  for (int i = 0; i < kSampleCount; ++i) {
    model.Observe(Draw(generator));
  }
  const auto p90 = model.TimeAt(kSigmasOf90th);
  int above = 0;
  for (int i = 0; i < kSampleCount; ++i) {
    above += Draw(generator) > p90 ? 1 : 0;
  }
  CHECK(above > kSampleCount * 0.05);
  CHECK(above < kSampleCount * 0.15);
  CHECK(model.Survival(p90) == doctest::Approx(0.1).epsilon(0.01));
}

TEST_CASE("Survival stays between the minimum and 1")
{
  LatencyModel model;
  for (int i = 0; i < kSampleCount; ++i) {
    model.Observe(Micros(100'000));
  }
  CHECK(model.Survival(Micros(0)) == doctest::Approx(1.0));
  CHECK(model.Survival(Micros(60'000'000)) == doctest::Approx(0.01));
}

// Guards against a tail that is taken for evidence of a failure, and against a
// change of the requests that are not long.
TEST_CASE("The weight of the tail is learned for long requests only")
{
  constexpr Micros kFar{ 600'000'000 };
  for (const double share : { 0.0, 0.03, 0.3 }) {
    CAPTURE(share);
    std::mt19937_64 generator(7);
    std::bernoulli_distribution late(share);
    LatencyModel model;
    for (int i = 0; i < kSampleCount; ++i) {
      model.Observe(late(generator) ? Draw(generator) * 40 : Draw(generator));
    }
    CHECK(model.Survival(kFar) == doctest::Approx(0.01));
    CHECK(model.LongSurvival(kFar) == doctest::Approx(model.TailWeight()));
    CHECK(model.LongSurvival(Micros(1)) == doctest::Approx(1.0));
    CHECK(model.TailWeight() >= 0.01);
    CHECK(model.TailWeight() <= 0.06);
    if (share == 0.03) {
      CHECK(model.TailWeight() > 0.015);
    }
  }
}
