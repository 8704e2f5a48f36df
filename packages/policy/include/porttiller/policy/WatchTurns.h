// How long each watcher of a zone waits at the store in one call, so that they
// come back in turns. Answers the load of open connections that all go silent
// at one moment: each watch then ends at its time-out, and the zone hears of
// changes as soon as the first of its watchers has a new connection. With n
// watchers a call of each takes n steps and one of them ends in every step, as
// many calls as one watcher that waits a step. If some are turned away by the
// store the others leave a gap of a step for each.
#pragma once

#include "porttiller/core/Time.h"

#include <cstddef>
#include <optional>

namespace porttiller {

// The place of a watcher among those of its zone.
struct WatchPlace
{
  std::size_t mRank = 0; // from 0
  std::size_t mCount = 1;

  friend bool operator==(const WatchPlace&, const WatchPlace&) = default;
};

struct WatchTurnsOptions
{
  Millis mStep{ 1000 };
};

// Owned by the thread that watches.
class WatchTurns
{
public:
  explicit WatchTurns(WatchTurnsOptions aOptions);

  // The wait of the next watch.
  Millis NextWait(const WatchPlace& aPlace);
  // All watchers of the zone have come back at one moment, as a change is
  // told to all of them: their turns begin anew.
  void OnChange() { mFirst = true; }

private:
  const WatchTurnsOptions mOptions;
  bool mFirst = true; // the next wait is the first of its turns
  std::optional<WatchPlace> mPlace;
};

} // namespace porttiller
