#include "porttiller/policy/LatencyModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace porttiller {

namespace {

// Weight of the initial assumptions, in samples.
constexpr int kInitialWeight = 3;

double
LogOf(Micros aTime)
{
  return std::log(static_cast<double>(std::max<Micros::rep>(1, aTime.count())));
}

} // namespace

LatencyModel::LatencyModel(LatencyModelOptions aOptions)
  : mOptions(aOptions)
  , mMean(LogOf(aOptions.mInitialMedian))
  , mVariance(aOptions.mInitialSigma * aOptions.mInitialSigma)
{
}

void
LatencyModel::Observe(Micros aTime)
{
  mSamples = std::min(mSamples + 1, mOptions.mMaxSamples);
  const double weight = 1.0 / (mSamples + kInitialWeight);
  const double distance = LogOf(aTime) - mMean;
  mMean += weight * distance;
  mVariance = (1.0 - weight) * (mVariance + weight * distance * distance);
}

double
LatencyModel::Sigma() const
{
  return std::max(mOptions.mMinSigma, std::sqrt(mVariance));
}

double
LatencyModel::Survival(Micros aTime) const
{
  const double sigmas = (LogOf(aTime) - mMean) / Sigma();
  return std::max(mOptions.mMinSurvival,
                  std::erfc(sigmas / std::numbers::sqrt2) / 2.0);
}

Micros
LatencyModel::TimeAt(double aSigmas) const
{
  return Micros(static_cast<Micros::rep>(std::exp(mMean + aSigmas * Sigma())));
}

} // namespace porttiller
