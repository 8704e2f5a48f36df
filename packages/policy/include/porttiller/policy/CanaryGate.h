// Decides when a long request that may run only once is sent to a server. Some
// servers fail in episodes: for some 2.7 s of every 9 s they reset 85% of all
// connections at once, which no health check detects. Only a request that fails
// shows that an episode has begun: a repeatable one is retried elsewhere, an
// unrepeatable one is lost. Therefore an unrepeatable request waits while there
// is no recent signal that the server accepts requests, and without any it is
// sent alone, as the canary.
//
// A signal is a request that still runs some time after it was sent, or that
// was answered earlier. Responses to older requests are no signal: during an
// episode the server still answers those from before it, some five a second,
// and each would release the requests that wait.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <map>
#include <optional>

namespace porttiller {

struct CanaryGateOptions
{
  // A request that still runs after this time was accepted. A server in an
  // episode resets a connection within a few milliseconds.
  Millis mProofTime{ 30 };
  // How long a signal is valid. Longer would let more requests into a new
  // episode; servers of 5 requests a second give a signal every 200 ms.
  Millis mSignalValidity{ 100 };
  // A request waits for at most its latency target divided by this, and not
  // longer than mMaxWait: callers of the longest targets (8 s) see 6% more.
  int mTargetDivisor = 10;
  Millis mMaxWait{ 500 };

  friend bool operator==(const CanaryGateOptions&,
                         const CanaryGateOptions&) = default;
};

enum class GateVerdict
{
  kHold,
  kOpen,  // there is a valid signal
  kCanary // send it without a signal; no other request is unproven
};

// State of one server. Not thread-safe: its owner holds the server's lock.
// Times must not decrease from call to call.
class CanaryGate
{
public:
  explicit CanaryGate(CanaryGateOptions aOptions = {});

  // A request was sent to the server. Each must be followed by OnEnded.
  void OnSent(const AttemptId& aAttempt, TimePoint aNow);
  // aAnswered: the server sent a response, of whatever status. It is a signal
  // only within mProofTime of the request.
  void OnEnded(const AttemptId& aAttempt, bool aAnswered, TimePoint aNow);

  // The longest wait of a request with this latency target.
  Millis MaxWait(Millis aTarget) const;

  // Whether there is a valid signal.
  bool IsOpen(TimePoint aNow);
  // What to do with a request that may wait until aUntil. A canary is sent
  // mProofTime before aUntil, so that its signal opens the gate within the wait
  // of others that arrived with it. While any request is unproven, no canary is
  // sent, for at most mProofTime after aUntil.
  GateVerdict Decide(TimePoint aUntil, TimePoint aNow);
  // After kHold: the time, later than aNow, at which the verdict may change
  // without another request being sent or ending.
  TimePoint NextDecision(TimePoint aUntil, TimePoint aNow);

private:
  void ProveRunning(TimePoint aNow);
  TimePoint OldestUnproven() const;

  CanaryGateOptions mOptions;
  std::optional<TimePoint> mLastSignal;
  // When requests that have run for less than mProofTime were sent.
  std::map<AttemptId, TimePoint> mUnproven;
};

} // namespace porttiller
