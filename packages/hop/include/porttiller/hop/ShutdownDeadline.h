// The deadline at which a planned stop of the daemon ends every wait.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/Cancellation.h"

#include <algorithm>
#include <atomic>

namespace porttiller {

// Shared by all threads that work on behalf of a request; set once, when
// draining begins. Thread-safe.
class ShutdownDeadline
{
public:
  // Interval at which waits check for a planned stop. A stop takes seconds, so
  // it need not interrupt a wait at once; a caller that disconnects does.
  static constexpr Millis kCheckInterval{ 400 };

  void Set(TimePoint aEnd)
  {
    mEnd = aEnd.time_since_epoch().count();
    mBegun->Cancel();
  }

  // Cancelled when a planned stop begins, for waits that must then end at once.
  CancelFlag Begun() const { return mBegun; }

  // True once a planned stop has begun.
  bool IsSet() const
  {
    return mEnd != TimePoint::max().time_since_epoch().count();
  }

  // The box takes no new connections of callers any more. Requests that arrive
  // later come on connections that were open.
  void CloseToCallers() { mClosedToCallers = true; }

  // True for a request that arrives after CloseToCallers and may still run at
  // the end of the planned stop.
  bool IsTooLateFor(TimePoint aDeadline) const
  {
    return mClosedToCallers && EndsBefore(aDeadline);
  }

  // Whether a planned stop has begun that ends before aDeadline.
  bool EndsBefore(TimePoint aDeadline) const
  {
    return Limit(aDeadline) < aDeadline;
  }

  // Returns aUntil or the end of the planned stop, whichever is earlier.
  TimePoint Limit(TimePoint aUntil) const
  {
    return std::min(aUntil, TimePoint(Micros(mEnd)));
  }

  // Calls aWait with the end of each interval until it returns true or
  // Limit(aUntil) has passed; returns the result of the last call.
  template<typename Wait>
  bool WaitInIntervals(TimePoint aUntil, Wait aWait) const
  {
    return WaitInIntervals(
      aUntil, [] { return false; }, aWait);
  }

  // As above, but also returns false when aStop returns true between two
  // intervals.
  template<typename Stop, typename Wait>
  bool WaitInIntervals(TimePoint aUntil, Stop aStop, Wait aWait) const
  {
    for (;;) {
      const auto now = Now();
      const auto end = Limit(aUntil);
      if (aWait(std::min<TimePoint>(end, now + kCheckInterval))) {
        return true;
      }
      if (Now() >= end || aStop()) {
        return false;
      }
    }
  }

private:
  std::atomic<std::int64_t> mEnd{ TimePoint::max().time_since_epoch().count() };
  std::atomic<bool> mClosedToCallers{ false };
  const CancelFlag mBegun = Cancellation::Make();
};

} // namespace porttiller
