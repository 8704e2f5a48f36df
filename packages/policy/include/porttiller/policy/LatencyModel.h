// How long the requests of one kind usually take: a log-normal distribution,
// fitted to the answers as they come. Its two figures say how much of the
// requests outlast a time, also one that none has lasted yet.
#pragma once

#include "porttiller/core/Time.h"

namespace porttiller {

struct LatencyModelOptions
{
  // Before any answer; many kinds of requests lie within two sigmas of it.
  Micros mInitialMedian{ 300'000 };
  double mInitialSigma = 1.0;
  // The newest answer weighs one in so many once there are more.
  int mMemory = 64;
  // Of all requests so many may take any time: few are as regular as their
  // bulk, and one that is late says only so much.
  double mTail = 0.01;
  double mMinSigma = 0.25;
};

// Not thread-safe: its owner holds a lock.
class LatencyModel
{
public:
  explicit LatencyModel(LatencyModelOptions aOptions = {});

  void Observe(Micros aTime);
  // The share of requests that take longer than aTime, never below the tail.
  double Survival(Micros aTime) const;
  // The time that lies so many sigmas above the median; 1.28 is outlasted by
  // one request in ten.
  Micros TimeAt(double aSigmas) const;
  int Samples() const { return mSamples; }

private:
  double Sigma() const;

  LatencyModelOptions mOptions;
  int mSamples = 0; // up to the memory
  double mMean;     // of the logarithm of the time in microseconds
  double mVariance; // of the same
};

} // namespace porttiller
