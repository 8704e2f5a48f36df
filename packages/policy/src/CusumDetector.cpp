#include "porttiller/policy/CusumDetector.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr double kMaxMedianStep = 0.3;
constexpr double kMinMedianStep = 0.02;
// The median is frozen once slowness accumulates to this share of the
// threshold; otherwise it would follow the slow answers.
constexpr double kMedianFreezeShare = 0.2;
constexpr double kRecentWeight = 0.125;

} // namespace

CusumTest::CusumTest(double aHealthyRate, double aFaultyRate)
  : mHit(std::log(aFaultyRate / aHealthyRate))
  , mMiss(std::log((1.0 - aFaultyRate) / (1.0 - aHealthyRate)))
{
}

void
CusumTest::Observe(bool aHit)
{
  mScore = std::max(0.0, mScore + (aHit ? mHit : mMiss));
}

void
MedianTracker::Observe(Micros aValue)
{
  const auto value =
    static_cast<double>(std::max<std::int64_t>(1, aValue.count()));
  ++mSamples;
  if (mSamples == 1) {
    mValue = value;
    return;
  }
  const double step =
    std::max(kMinMedianStep, kMaxMedianStep / std::sqrt(mSamples));
  mValue *= value > mValue ? 1.0 + step : 1.0 / (1.0 + step);
}

void
RecentMean::Observe(Micros aValue)
{
  const auto value = static_cast<double>(aValue.count());
  mValue += mEmpty ? value : kRecentWeight * (value - mValue);
  mEmpty = false;
}

CusumDetector::CusumDetector(CusumDetectorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mSlow(mOptions.mHealthySlowRate, mOptions.mFaultySlowRate)
{
  for (const double rate : mOptions.mFaultyFailureRates) {
    mFailures.emplace_back(mOptions.mHealthyFailureRate, rate);
  }
}

// Counts a failure. Returns true if it is not among the first mBurstFailures of
// its burst.
bool
CusumDetector::ExceedsBurst(TimePoint aNow)
{
  if (mBurstCount == 0 || aNow - mBurstStart >= mOptions.mBurstWindow) {
    mBurstStart = aNow;
    mBurstCount = 0;
  }
  return ++mBurstCount > mOptions.mBurstFailures;
}

void
CusumDetector::Observe(const Evidence& aEvidence,
                       bool aCountSlow,
                       TimePoint aNow)
{
  if (aEvidence.mFailed && ExceedsBurst(aNow)) {
    return;
  }
  for (auto& test : mFailures) {
    test.Observe(aEvidence.mFailed);
  }
  auto it = mClasses.find(aEvidence.mClass);
  if (it == mClasses.end() && mClasses.size() < mOptions.mMaxClasses) {
    it = mClasses
           .emplace(aEvidence.mClass,
                    CusumTest(mOptions.mHealthyFailureRate,
                              mOptions.mFaultyClassFailureRate))
           .first;
  }
  if (it != mClasses.end()) {
    it->second.Observe(aEvidence.mFailed);
  }
  if (!aEvidence.mFailed) {
    ObserveLatency(aEvidence.mLatency, aCountSlow);
  }
}

void
CusumDetector::ObserveLatency(Micros aLatency, bool aCountSlow)
{
  mRecent.Observe(aLatency);
  if (!aCountSlow) {
    return;
  }
  mSlow.Observe(IsSlow(aLatency));
  if (mSlow.Score() < kMedianFreezeShare * mOptions.mThreshold) {
    mMedian.Observe(aLatency);
  }
}

bool
CusumDetector::IsSlow(Micros aLatency) const
{
  if (mMedian.Samples() < mOptions.mBaselineSamples) {
    return false;
  }
  const auto median = mMedian.Value();
  const Micros byFactor(static_cast<std::int64_t>(
    static_cast<double>(median.count()) * mOptions.mSlowFactor));
  return aLatency > std::max(byFactor, median + mOptions.mMinSlowExcess);
}

double
CusumDetector::FailureScore() const
{
  double score = 0.0;
  for (const auto& test : mFailures) {
    score = std::max(score, test.Score() / mOptions.mThreshold);
  }
  const double classThreshold =
    mOptions.mThreshold + std::log(static_cast<double>(mOptions.mMaxClasses));
  for (const auto& [name, test] : mClasses) {
    score = std::max(score, test.Score() / classThreshold);
  }
  return score;
}

double
CusumDetector::Score() const
{
  return std::max(FailureScore(), mSlow.Score() / mOptions.mThreshold);
}

bool
CusumDetector::OnlySlow() const
{
  return FailureScore() < 1.0 && Suspicious();
}

void
CusumDetector::Reset()
{
  for (auto& test : mFailures) {
    test.Reset();
  }
  mClasses.clear();
  mSlow.Reset();
}

std::string
CusumDetector::Dump() const
{
  return "score=" + std::to_string(Score()) +
         " median_us=" + std::to_string(MedianLatency().count()) +
         " samples=" + std::to_string(Samples());
}

} // namespace porttiller
