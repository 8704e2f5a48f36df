#include "porttiller/policy/LatencyModel.h"

#include <doctest/doctest.h>
#include <random>

using namespace porttiller;

namespace {

constexpr int kMany = 2000;
constexpr double kMedianMs = 430.0;
constexpr double kSigma = 0.7;
constexpr double kNinth = 1.2816; // one in ten lies above

Micros
Draw(std::mt19937_64& aGenerator)
{
  std::lognormal_distribution<double> times(std::log(kMedianMs * 1000.0),
                                            kSigma);
  return Micros(static_cast<Micros::rep>(times(aGenerator)));
}

} // namespace

TEST_CASE("The model finds the quantiles of the times that it is told")
{
  std::mt19937_64 generator(5);
  LatencyModel model;
  for (int i = 0; i < kMany; ++i) {
    model.Observe(Draw(generator));
  }
  const auto ninth = model.TimeAt(kNinth);
  int above = 0;
  for (int i = 0; i < kMany; ++i) {
    above += Draw(generator) > ninth ? 1 : 0;
  }
  CHECK(above > kMany * 0.05);
  CHECK(above < kMany * 0.15);
  CHECK(model.Survival(ninth) == doctest::Approx(0.1).epsilon(0.01));
}

TEST_CASE("No request outlasts what the tail allows, and none is ruled out")
{
  LatencyModel model;
  for (int i = 0; i < kMany; ++i) {
    model.Observe(Micros(100'000));
  }
  CHECK(model.Survival(Micros(0)) == doctest::Approx(1.0));
  CHECK(model.Survival(Micros(60'000'000)) == doctest::Approx(0.01));
}
