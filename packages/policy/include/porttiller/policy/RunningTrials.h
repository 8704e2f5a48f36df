// Tells early that a server accepts requests again. Some servers fail in
// episodes of a few seconds, in which they reset most connections within
// milliseconds. A long request takes seconds to be answered, so that a breaker
// that waits for two responses keeps a server demoted for longer than the
// episode lasted, and two servers in three are demoted where one in three
// fails. A request that still runs after kAcceptedAfter was not reset and shows
// as much as a response does.
//
// Applies only to a server whose last failure was such a reset: a server that
// hangs accepts requests, too.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <map>
#include <vector>

namespace porttiller {

// State of one server. Not thread-safe: its owner holds the server's lock.
class RunningTrials
{
public:
  // A server in an episode resets a connection within a few milliseconds; the
  // rest is for a busy box that notices it late.
  static constexpr Millis kAcceptedAfter{ 50 };

  // A failure after aTime that closed the connection.
  void OnClosed(Micros aTime) { mResets = aTime < kAcceptedAfter; }
  // Any other failure.
  void OnOtherFailure() { mResets = false; }

  void OnStarted(const AttemptId& aAttempt, TimePoint aNow);
  void OnEnded(const AttemptId& aAttempt) { mRunning.erase(aAttempt); }

  // The start times of the requests that were found accepted since the last
  // call.
  std::vector<TimePoint> TakeAccepted(TimePoint aNow);

private:
  bool mResets = false;                    // the last failure was a reset
  std::map<AttemptId, TimePoint> mRunning; // not yet known as accepted
};

} // namespace porttiller
