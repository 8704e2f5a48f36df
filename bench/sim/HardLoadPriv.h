// What the files of HardLoadFleet share.
#pragma once

#include "sim/HardLoadFleet.h"

namespace porttiller::bench {

inline const TimePoint kStart{ Millis(1'000'000) };
inline const std::string kRoute = "route";
inline constexpr Millis kTimeLimit{ 8000 };
inline constexpr int kSlots = 15;

// Also of an attempt that its entry no longer waits for.
inline const HomeAnswer kTimedOut{ .mOutcome = Outcome::kUnknown,
                                   .mReason = kTimeoutReason };

// Only homes limit retries.
inline bool
UnlimitedRetries()
{
  return true;
}

inline BackendServerName
NameOf(std::size_t aServer)
{
  return BackendServerName(std::to_string(aServer));
}

inline bool
Within(TimePoint aNow, Micros aFrom, Micros aUntil)
{
  return aNow >= kStart + aFrom && aNow < kStart + aUntil;
}

} // namespace porttiller::bench
