// Time types and the monotonic clock.
#pragma once

#include <chrono>

namespace porttiller {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

// A time on this process's monotonic clock; not comparable across boxes.
using TimePoint =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

inline TimePoint
Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

// Milliseconds since the epoch of the monotonic clock.
inline std::int64_t
ToMillis(TimePoint aTime)
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
}

} // namespace porttiller
