// The point at which a planned stop ends every wait.
#pragma once

#include "porttiller/core/Time.h"

#include <algorithm>
#include <atomic>

namespace porttiller {

// Shared by all that wait for a request; set once, when draining begins.
// Thread-safe.
class Cutoff
{
public:
  // Waits look for a planned stop this often. Callers that go end them by
  // themselves; a stop is bounded by seconds.
  static constexpr Millis kSlice{ 400 };

  void Set(TimePoint aEnd) { mEnd = aEnd.time_since_epoch().count(); }

  // A planned stop has begun.
  bool IsSet() const
  {
    return mEnd != TimePoint::max().time_since_epoch().count();
  }

  // The end of a wait that wants to last until aUntil.
  TimePoint Limit(TimePoint aUntil) const
  {
    return std::min(aUntil, TimePoint(Micros(mEnd)));
  }

  // Calls aWait with the end of each slice until it returns true or the wait
  // is over; returns what the last call did.
  template<typename Wait>
  bool WaitInSlices(TimePoint aUntil, Wait aWait) const
  {
    return WaitInSlices(
      aUntil, [] { return false; }, aWait);
  }

  // As above; ends between two slices, with false, once aStop says so.
  template<typename Stop, typename Wait>
  bool WaitInSlices(TimePoint aUntil, Stop aStop, Wait aWait) const
  {
    for (;;) {
      const auto now = Now();
      const auto end = Limit(aUntil);
      if (aWait(std::min<TimePoint>(end, now + kSlice))) {
        return true;
      }
      if (Now() >= end || aStop()) {
        return false;
      }
    }
  }

private:
  std::atomic<std::int64_t> mEnd{ TimePoint::max().time_since_epoch().count() };
};

} // namespace porttiller
