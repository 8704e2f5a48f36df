#include "porttiller/policy/WatchSchedule.h"

#include <utility>

namespace porttiller {

WatchSchedule::WatchSchedule(WatchScheduleOptions aOptions)
  : mOptions(aOptions)
{
}

Millis
WatchSchedule::NextWait(const WatchPosition& aPlace)
{
  const bool moved = mPlace != aPlace;
  mPlace = aPlace;
  const bool first = std::exchange(mFirstWait, false) || moved;
  const auto steps = first ? aPlace.mRank + 1 : aPlace.mCount;
  return mOptions.mStep * static_cast<Millis::rep>(steps);
}

} // namespace porttiller
