// Latency of one kind of requests: a log-normal distribution that is fitted to
// the answers as they arrive. Its two parameters give the share of requests
// that take longer than a given time, even a time longer than any observed.
#pragma once

#include "porttiller/core/Time.h"

namespace porttiller {

struct LatencyModelOptions
{
  // Assumed before any answer; most kinds of requests lie within two sigmas.
  Micros mInitialMedian{ 300'000 };
  double mInitialSigma = 1.0;
  // Limits the number of samples in the weight of the newest one, so that old
  // samples fade out exponentially.
  int mMaxSamples = 64;
  // Share of requests that may take any time. Real latencies have a heavier
  // tail than the fitted distribution, so a late answer is only weak evidence
  // of a failure.
  double mMinSurvival = 0.01;
  double mMinSigma = 0.25;
};

// Not thread-safe: its owner holds a lock.
class LatencyModel
{
public:
  explicit LatencyModel(LatencyModelOptions aOptions = {});

  void Observe(Micros aTime);
  // The share of requests that take longer than aTime, at least mMinSurvival.
  double Survival(Micros aTime) const;
  // The time that lies aSigmas above the median; 1.28 gives the 90th
  // percentile.
  Micros TimeAt(double aSigmas) const;
  int Samples() const { return mSamples; }

private:
  double Sigma() const;

  LatencyModelOptions mOptions;
  int mSamples = 0; // up to mMaxSamples
  double mMean;     // of the logarithm of the time in microseconds
  double mVariance; // of the same logarithm
};

} // namespace porttiller
