// Decides when an entry reports which counts to which collector. Counts are
// sent every tick without a reply. Every few ticks a reply is requested, which
// confirms that the collector has received everything so far. Unconfirmed
// counts are sent once more, to the other collector of the zone, because
// counting twice is better than not at all. They are not sent a third time:
// where only replies are lost, the collectors have counted them already.
#pragma once

#include "porttiller/policy/LimitGate.h"

#include <cstddef>
#include <optional>

namespace porttiller {

struct UseReporterOptions
{
  Millis mReplyInterval{ 750 };
  // An entry requests no grants when it has seen no request of a limited
  // workspace for this time.
  Millis mIdleAfter{ 5000 };
  // How long the first collector is avoided after a missing reply; doubles each
  // time until it replies again.
  Millis mAvoidFor{ 3000 };
  Millis mMaxAvoidFor{ 24'000 };
};

// One message to a collector.
struct UseReport
{
  BoxName mCollector;
  std::uint64_t mReplyToken = 0; // for OnReply; 0: no reply is requested
  WorkspaceUses mUses;
};

// Not thread-safe: its owner holds the lock, which also protects the gate.
class UseReporter
{
public:
  explicit UseReporter(UseReporterOptions aOptions = {});

  // Called at each tick with the collectors of the zone, the preferred one
  // first. Null when there is nothing to report or request, or no collector.
  std::optional<UseReport> Next(LimitGate& aGate,
                                const std::vector<BoxName>& aCollectors,
                                TimePoint aNow);
  // The reply to a report that requested one. Not aReplied: it timed out.
  void OnReply(std::uint64_t aReplyToken, bool aReplied, TimePoint aNow);

private:
  void QueueResend();
  void SwitchTo(const BoxName& aCollector);

  const UseReporterOptions mOptions;
  BoxName mCollector;              // receiver of the following two
  WorkspaceUses mAwaitingReply;    // sent with or before the pending request
  WorkspaceUses mSentAfterRequest; // sent after it
  WorkspaceUses mResend;           // to be sent once more
  bool mReplyPending = false;
  std::optional<TimePoint> mRequestedAt;
  std::optional<TimePoint> mLastUsedAt;
  TimePoint mAvoidUntil; // of the first collector
  Millis mNextAvoidFor;  // after its next missing reply
  std::uint64_t mLastReplyToken = 0;
  int mFailures = 0; // consecutive missing replies
};

} // namespace porttiller
