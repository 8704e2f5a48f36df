// Time types. No clock is read here: callers pass the time in.
#pragma once

#include <chrono>

namespace porttiller {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

// A point on one process's own monotonic clock; never compared across boxes.
using TimePoint =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

// Reads the monotonic clock of this process.
inline TimePoint
Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

// Milliseconds since the clock's own origin.
inline std::int64_t
ToMillis(TimePoint aTime)
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
}

} // namespace porttiller
