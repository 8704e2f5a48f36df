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
  int mInitialWeight = 3; // of these assumptions, in samples
  // Limits the number of samples in the weight of the newest one, so that old
  // samples fade out exponentially.
  int mMaxSamples = 64;
  // Share of requests that may take any time. Real latencies have a heavier
  // tail than the fitted distribution, so a late answer is only weak evidence
  // of a failure.
  double mMinSurvival = 0.01;
  double mMinSigma = 0.25;
  // Upper limit of the tail weight that is learned for long requests. Beyond
  // it, overdue requests would hardly be evidence of a failure.
  double mMaxTailWeight = 0.06;
  // As mMaxSamples, for the tail weight: of a tail of 3 in 100, one set of 64
  // samples in seven has none.
  int mMaxTailSamples = 256;
};

// Not thread-safe: its owner holds a lock.
class LatencyModel
{
public:
  explicit LatencyModel(LatencyModelOptions aOptions = {});

  void Observe(Micros aTime);
  // The share of requests that take longer than aTime, at least mMinSurvival.
  double Survival(Micros aTime) const;
  // As Survival, but at least TailWeight.
  double LongSurvival(Micros aTime) const;
  // The share of the observed times that lie beyond the fitted distribution, at
  // least mMinSurvival and at most mMaxTailWeight.
  double TailWeight() const;
  // The time that lies aSigmas above the median; 1.28 gives the 90th
  // percentile.
  Micros TimeAt(double aSigmas) const;
  int Samples() const { return mSamples; }

private:
  double Sigma() const;
  void ObserveTail(Micros aTime);
  double FittedSurvival(Micros aTime) const;

  LatencyModelOptions mOptions;
  int mSamples = 0;     // up to mMaxSamples
  double mMean;         // of the logarithm of the time in microseconds
  double mVariance;     // of the same logarithm
  int mTailSamples = 0; // up to mMaxTailSamples
  double mTailShare;    // of the samples beyond the fitted distribution
};

} // namespace porttiller
