// Detects a failing backend server from its answers by a sequential test
// (CUSUM): each answer adds the logarithm of the ratio of its likelihoods at a
// faulty and at a healthy server. A sum above the threshold raises an alarm.
// Source: Page, "Continuous inspection schemes", 1954.
#pragma once

#include "porttiller/core/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace porttiller {

// What one answer shows about its server.
struct Evidence
{
  bool mFailed = false;     // server error, truncated answer or no answer
  Micros mLatency{ 0 };     // of the server alone; ignored if mFailed
  std::uint32_t mClass = 0; // kind of request, to detect partial faults
};

struct CusumDetectorOptions
{
  // Log-likelihood ratio for an alarm: a higher one is slower and has fewer
  // false alarms.
  double mThreshold = 24.0;
  double mHealthyFailureRate = 0.002;
  // The failure rates to detect, each with its own sum.
  std::vector<double> mFaultyFailureRates = { 0.1, 0.5 };
  // For the separate sum of each request class. Its threshold is higher by
  // log(mMaxClasses), since more sums can raise a false alarm.
  double mFaultyClassFailureRate = 0.6;
  std::size_t mMaxClasses = 16;
  double mHealthySlowRate = 0.05;
  double mFaultySlowRate = 0.5;
  // A slow answer exceeds the median by this factor and by this time.
  double mSlowFactor = 4.0;
  Micros mMinSlowExcess{ 5000 };
  // Failures that come together have one cause: within this window only
  // mBurstFailures of them count.
  Millis mBurstWindow{ 200 };
  int mBurstFailures = 2;
  // Answers needed before the median is used.
  int mBaselineSamples = 30;
};

// The log-likelihood sum of one binary observation.
class CusumTest
{
public:
  CusumTest(double aHealthyRate, double aFaultyRate);

  void Observe(bool aHit);
  double Score() const { return mScore; }
  void Reset() { mScore = 0.0; }

private:
  double mHit;
  double mMiss;
  double mScore = 0.0;
};

// A running median that moves by small relative steps and keeps no samples.
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

// An exponentially weighted mean of recent values.
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
class CusumDetector
{
public:
  explicit CusumDetector(CusumDetectorOptions aOptions = {});

  // Slowness is ignored if aCountSlow is false, as for a server that is warming
  // up.
  void Observe(const Evidence& aEvidence, bool aCountSlow, TimePoint aNow);

  bool Suspicious() const { return Score() >= 1.0; }
  // The highest sum divided by its threshold; 1 or more is an alarm.
  double Score() const;
  // True if only slowness raised the alarm.
  bool OnlySlow() const;
  bool IsSlow(Micros aLatency) const;

  Micros MedianLatency() const { return mMedian.Value(); }
  // Recent mean latency, slow answers included.
  Micros RecentLatency() const { return mRecent.Value(); }
  int Samples() const { return mMedian.Samples(); }

  // Clears the sums; the median stays.
  void Reset();
  std::string Dump() const;

private:
  double FailureScore() const;
  bool ExceedsBurst(TimePoint aNow);
  void ObserveLatency(Micros aLatency, bool aCountSlow);

  CusumDetectorOptions mOptions;
  std::vector<CusumTest> mFailures;
  std::unordered_map<std::uint32_t, CusumTest> mClasses;
  CusumTest mSlow;
  MedianTracker mMedian; // of healthy answers
  RecentMean mRecent;
  TimePoint mBurstStart;
  int mBurstCount = 0;
};

} // namespace porttiller
