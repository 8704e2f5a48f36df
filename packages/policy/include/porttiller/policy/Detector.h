// Tells a failing backend server from a healthy one by its answers, as a
// sequential test: each answer adds the logarithm of how much likelier it is
// from a sick server, and a sum over the threshold is an alarm. Source: Page,
// "Continuous inspection schemes", 1954 (CUSUM).
#pragma once

#include "porttiller/core/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace porttiller {

// What one answer says of its server.
struct Evidence
{
  bool mFailed = false;     // an error of the server, a cut answer, no answer
  Micros mLatency{ 0 };     // of the server alone; ignored when failed
  std::uint32_t mClass = 0; // kind of call, so that partial faults show
};

struct DetectorOptions
{
  // Log-likelihood for an alarm: higher is slower and surer.
  double mThreshold = 24.0;
  double mHealthyFailureRate = 0.002;
  // Failure rates that are tested for, each by a sum of its own.
  std::vector<double> mSickFailureRates = { 0.1, 0.5 };
  // For each class of calls by itself; its threshold is higher by
  // log(mMaxClasses), as there are more sums that could err.
  double mSickClassFailureRate = 0.6;
  std::size_t mMaxClasses = 16;
  double mHealthySlowRate = 0.05;
  double mSickSlowRate = 0.5;
  // Slow: over the median by this factor and by this time.
  double mSlowFactor = 4.0;
  Micros mSlowFloor{ 5000 };
  // Failures that come together have one cause: of those within this time only
  // so many count.
  Millis mBurstWindow{ 200 };
  int mBurstFailures = 2;
  // Answers before the median is trusted.
  int mBaselineSamples = 30;
};

// One log-likelihood sum of a yes-or-no observation.
class CusumTest
{
public:
  CusumTest(double aHealthyRate, double aSickRate);

  void Observe(bool aHit);
  double Score() const { return mScore; }
  void Reset() { mScore = 0.0; }

private:
  double mHit;
  double mMiss;
  double mScore = 0.0;
};

// A running median by small steps, which needs no samples kept.
class MedianTracker
{
public:
  void Observe(Micros aValue);
  Micros Value() const { return Micros(static_cast<std::int64_t>(mValue)); }
  int Samples() const { return mSamples; }

private:
  double mValue = 0.0;
  int mSamples = 0;
};

// A mean of the last few values, newest first in weight.
class RecentMean
{
public:
  void Observe(Micros aValue);
  Micros Value() const { return Micros(static_cast<std::int64_t>(mValue)); }

private:
  double mValue = 0.0;
  bool mEmpty = true;
};

// Not thread-safe: its owner holds the server's lock.
class Detector
{
public:
  explicit Detector(DetectorOptions aOptions = {});

  // With aCountSlow unset slowness is overlooked, as for a server that is
  // warming up.
  void Observe(const Evidence& aEvidence, bool aCountSlow, TimePoint aNow);

  bool Suspicious() const { return Score() >= 1.0; }
  // The highest sum as a share of its threshold; 1 and above is an alarm.
  double Score() const;
  // True when the alarm rests on slowness alone.
  bool OnlySlow() const;
  bool IsSlow(Micros aLatency) const;

  Micros MedianLatency() const { return mMedian.Value(); }
  // Of the last few answers, slow ones included.
  Micros RecentLatency() const { return mRecent.Value(); }
  int Samples() const { return mMedian.Samples(); }

  // Forgets the sums; the median stays.
  void Reset();
  std::string Dump() const;

private:
  double FailureScore() const;
  bool InBurst(TimePoint aNow);
  void ObserveLatency(Micros aLatency, bool aCountSlow);

  DetectorOptions mOptions;
  std::vector<CusumTest> mFailures;
  std::unordered_map<std::uint32_t, CusumTest> mClasses;
  CusumTest mSlow;
  MedianTracker mMedian; // of healthy answers
  RecentMean mRecent;
  TimePoint mBurstBegan;
  int mBurstCount = 0;
};

} // namespace porttiller
