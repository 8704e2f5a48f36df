#include "porttiller/policy/LatencyModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace porttiller {

namespace {

// Weight of the initial tail weight, in samples: one early response beyond the
// fitted distribution must not raise the tail weight to its limit.
constexpr int kInitialTailWeight = 20;

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
  , mTailShare(aOptions.mMinSurvival)
{
}

void
LatencyModel::Observe(Micros aTime)
{
  ObserveTail(aTime);
  mSamples = std::min(mSamples + 1, mOptions.mMaxSamples);
  const double weight = 1.0 / (mSamples + mOptions.mInitialWeight);
  const double distance = LogOf(aTime) - mMean;
  mMean += weight * distance;
  mVariance = (1.0 - weight) * (mVariance + weight * distance * distance);
}

// A sample lies in the tail if the distribution fitted to the earlier ones
// gives it a share below mMinSurvival.
void
LatencyModel::ObserveTail(Micros aTime)
{
  const bool tail = FittedSurvival(aTime) < mOptions.mMinSurvival;
  mTailSamples = std::min(mTailSamples + 1, mOptions.mMaxTailSamples);
  mTailShare +=
    ((tail ? 1.0 : 0.0) - mTailShare) / (mTailSamples + kInitialTailWeight);
}

double
LatencyModel::Sigma() const
{
  return std::max(mOptions.mMinSigma, std::sqrt(mVariance));
}

double
LatencyModel::FittedSurvival(Micros aTime) const
{
  const double sigmas = (LogOf(aTime) - mMean) / Sigma();
  return std::erfc(sigmas / std::numbers::sqrt2) / 2.0;
}

double
LatencyModel::Survival(Micros aTime) const
{
  return std::max(mOptions.mMinSurvival, FittedSurvival(aTime));
}

double
LatencyModel::LongSurvival(Micros aTime) const
{
  return std::max(TailWeight(), FittedSurvival(aTime));
}

double
LatencyModel::TailWeight() const
{
  return std::clamp(mTailShare, mOptions.mMinSurvival, mOptions.mMaxTailWeight);
}

Micros
LatencyModel::TimeAt(double aSigmas) const
{
  return Micros(static_cast<Micros::rep>(std::exp(mMean + aSigmas * Sigma())));
}

} // namespace porttiller
