// Counts events within a sliding window, for logs and metrics.
#pragma once

#include "porttiller/core/Time.h"

#include <array>
#include <cstddef>

namespace porttiller {

// Constant size: the window is divided into parts that expire as a whole. Not
// thread-safe.
class RecentCount
{
public:
  // The window over which limits of requests per second are judged.
  static constexpr Millis kWindow{ 4000 };

  void Add(TimePoint aNow);
  // Events in the last kWindow, up to one part more.
  int Count(TimePoint aNow) const;

private:
  static constexpr std::size_t kParts = 8;
  static constexpr Millis kPart{ kWindow / kParts };

  struct Part
  {
    std::int64_t mNumber = -1; // since the epoch of the clock
    int mCount = 0;
  };

  std::array<Part, kParts + 1> mParts;
};

} // namespace porttiller
