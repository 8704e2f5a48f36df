// Decides when a change of a backend server's state is reported to the boxes
// that send requests to it.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/hop/HomeTypes.h"

#include <optional>

namespace porttiller {

// Owned by LocalServer, under its lock.
class ServerStateReport
{
public:
  struct Due
  {
    bool mDemoted = false; // to report
    ServerDemand mDemand;  // to report
    bool mDemotionChanged = false;
    bool mLeavingEnded = false;
  };

  // The server that was leaving has ended.
  void OnLeavingEnded() { mLeavingEnded = true; }
  // Null while nothing is to be reported. To be called every tenth of a second
  // with the present state.
  std::optional<Due> Take(bool aDemoted,
                          const ServerDemand& aDemand,
                          TimePoint aNow);

private:
  bool DemotionChanged(bool aDemoted, TimePoint aNow);
  bool DemandIsDue(const ServerDemand& aDemand, TimePoint aNow);

  bool mDemoted = false;                     // as reported
  std::optional<TimePoint> mUnreportedSince; // a demotion or its end
  ServerDemand mDemand;                      // as reported
  TimePoint mNextDemand;                     // no report of a demand before
  int mRepeats = 0;                          // left, of the last demand
  bool mLeavingEnded = false;                // not reported yet
};

} // namespace porttiller
