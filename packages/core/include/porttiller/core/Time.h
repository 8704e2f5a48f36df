// Time types and the clock of leases, expiries and deadlines.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace porttiller {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

// CLOCK_BOOTTIME: monotonic, and counts the time during which the machine is
// suspended, unlike std::chrono::steady_clock. A lease that ran out in that
// time has run out for all other boxes. Waits do not count it: they must end
// after a short interval and check the time again.
struct BootClock
{
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept // NOLINT(readability-identifier-naming)
  {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<Micros>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
  }
};

// A time on this machine's clock; not comparable across boxes.
using TimePoint = BootClock::time_point;

inline TimePoint
Now()
{
  return BootClock::now();
}

// Milliseconds since the epoch of the clock.
inline std::int64_t
ToMillis(TimePoint aTime)
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
}

} // namespace porttiller
