// The bytes of answers that a listener holds for peers that have not read them.
// A box has as little as 160 MB, and 2,000 connections whose peers read slowly
// would hold 600 MB of answers of 90 to 540 KB.
#pragma once

#include "porttiller/core/Time.h"

#include <atomic>
#include <cstddef>

namespace porttiller {

// Counts over all connections of a listener. Thread-safe, except for Sample.
class UnsentBudget
{
public:
  // aLimit: bytes; 0: unlimited. aMaxRetryAfter: after this time at the latest
  // answers that nobody reads are discarded.
  UnsentBudget(std::size_t aLimit, Millis aMaxRetryAfter);

  // A connection held aBefore bytes and holds aAfter now.
  void Change(std::size_t aBefore, std::size_t aAfter);
  // Counts aBytes more if they fit; false, and nothing is counted, otherwise.
  bool TryAdd(std::size_t aBytes);
  // Whether a new request may run. The last quarter of the limit is reserved
  // for connections on which an earlier answer was read (aHasRead): peers that
  // do not read then exclude further new connections, but not those in use.
  // Answers of running requests that do not fit are counted as well.
  bool Admits(bool aHasRead) const;
  std::size_t Held() const { return mHeld; }

  // Measures how fast peers read. Called by one thread, at intervals.
  void Sample(TimePoint aNow);
  // When a rejected request would be admitted, at the rate of the last sample:
  // one second to aMaxRetryAfter.
  Millis RetryAfter() const;

private:
  std::size_t FirstLimit() const { return mLimit - mLimit / 4; }

  const std::size_t mLimit;
  const Millis mMaxRetryAfter;
  std::atomic<std::size_t> mHeld{ 0 };
  std::atomic<std::size_t> mReleased{ 0 }; // since the last sample
  std::atomic<double> mBytesPerMs{ 0.0 };  // released
  TimePoint mLastSample;                   // used by Sample only
};

} // namespace porttiller
