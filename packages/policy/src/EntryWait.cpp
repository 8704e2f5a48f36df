#include "porttiller/policy/EntryWait.h"

#include <algorithm>

namespace porttiller {

EntryWait::EntryWait(TimePoint aArrival,
                     Millis aTarget,
                     TimePoint aDeadline,
                     const EntryWaitOptions& aOptions)
  : mOptions(aOptions)
  , mEnd(std::min<TimePoint>(aArrival + Micros(aTarget) / aOptions.mTargetPart,
                             aDeadline))
  , mWait(aOptions.mFirst)
{
}

std::optional<TimePoint>
EntryWait::Next(TimePoint aNow)
{
  if (mEnd - aNow < mOptions.mShortest) {
    return std::nullopt;
  }
  const auto until = std::min<TimePoint>(aNow + mWait, mEnd);
  mWait = std::min(mWait * 2, mOptions.mLongest);
  return until;
}

} // namespace porttiller
