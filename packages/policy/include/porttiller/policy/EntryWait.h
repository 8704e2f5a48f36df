// Decides how long a long request that no home accepted waits at its entry
// before all homes are asked again.
//
// The load: servers with 10 to 15 slots and service times of 0.3 to 2.7 s, of
// which three in ten fail in episodes of some seconds, while traffic doubles. A
// busy server frees a slot every 70 to 150 ms, and a demoted one recovers
// within seconds, so a request of several seconds is better served by a short
// wait than by a rejection or by a server that loses most unrepeatable
// requests.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct EntryWaitOptions
{
  // The first wait is about the time in which a busy server frees a slot. Later
  // ones double, so that a request of 8 s costs the homes four rounds and not
  // eight.
  Millis mFirst{ 100 };
  Millis mLongest{ 400 };
  // Not worth another round: about the time of a hop.
  Millis mShortest{ 5 };
  // Part of the target that may pass between the request's arrival and the end
  // of its last wait. Callers hardly notice a tenth.
  int mTargetPart = 10;
};

// Owned by the thread that serves the request.
class EntryWait
{
public:
  // aTarget: latency target of the request's route.
  EntryWait(TimePoint aArrival,
            Millis aTarget,
            TimePoint aDeadline,
            const EntryWaitOptions& aOptions = {});

  // Until when to wait before the next round; null once the request may not
  // wait any more.
  std::optional<TimePoint> Next(TimePoint aNow);

private:
  const EntryWaitOptions mOptions;
  const TimePoint mEnd;
  Millis mWait; // the next one
};

} // namespace porttiller
