// Staggers the long polls of a zone's watchers at the store, so that they end
// in turn. If all connections become unresponsive at one moment, each poll ends
// only at its timeout, and the zone receives changes again as soon as its first
// watcher has a new connection. With n watchers each poll lasts n steps and one
// of them ends in every step. That costs as many calls as one watcher that
// polls for one step. Each watcher that the store rejects leaves a gap of one
// step.
#pragma once

#include "porttiller/core/Time.h"

#include <cstddef>
#include <optional>

namespace porttiller {

// The position of a watcher among those of its zone.
struct WatchPosition
{
  std::size_t mRank = 0; // from 0
  std::size_t mCount = 1;

  friend bool operator==(const WatchPosition&, const WatchPosition&) = default;
};

struct WatchScheduleOptions
{
  Millis mStep{ 1000 };
};

// Owned by the thread that watches.
class WatchSchedule
{
public:
  explicit WatchSchedule(WatchScheduleOptions aOptions);

  // Returns the duration of the next long poll.
  Millis NextWait(const WatchPosition& aPlace);
  // A change ended the polls of all watchers in the zone at one moment, so
  // staggering starts again.
  void OnChange() { mFirstWait = true; }

private:
  const WatchScheduleOptions mOptions;
  bool mFirstWait = true; // the next poll starts the stagger
  std::optional<WatchPosition> mPlace;
};

} // namespace porttiller
