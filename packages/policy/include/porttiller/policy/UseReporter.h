// When an entry tells what of its counts to which collector. Counts go out
// every tick without a reply; every few ticks a reply is asked for, which shows
// that the collector has them all. Those that it may not have are told once
// more, to the other collector of the zone: counted twice is better than not at
// all. Never more often: where only replies are lost, a collector has counted
// what it does not confirm.
#pragma once

#include "porttiller/policy/LimitGate.h"

#include <cstddef>
#include <optional>

namespace porttiller {

struct UseReporterOptions
{
  Millis mReplyEvery{ 750 };
  // An entry that has seen no request of a limited workspace for so long asks
  // for no grants.
  Millis mRestAfter{ 5000 };
  // The first collector is passed over for so long after it did not reply;
  // doubles with each time, until it replies again.
  Millis mAvoidFor{ 3000 };
  Millis mMaxAvoidFor{ 24'000 };
};

// One message to a collector.
struct UseReport
{
  BoxName mCollector;
  std::uint64_t mQuestion = 0; // not 0: a reply is wanted
  WorkspaceUses mUses;
};

// Not thread-safe: its owner holds the lock, also that of the gate.
class UseReporter
{
public:
  explicit UseReporter(UseReporterOptions aOptions = {});

  // At each tick, with the collectors of the zone, the first one first. Null
  // when there is nothing to tell or to ask, or nobody to tell it to.
  std::optional<UseReport> Next(LimitGate& aGate,
                                const std::vector<BoxName>& aCollectors,
                                TimePoint aNow);
  // To UseReport::mQuestion. Not aReplied: no reply came in time.
  void OnReply(std::uint64_t aQuestion, bool aReplied, TimePoint aNow);

private:
  void TellAgain();
  void MoveTo(const BoxName& aCollector);

  const UseReporterOptions mOptions;
  BoxName mCollector;      // that has been told the following
  WorkspaceUses mAskedFor; // told with or before the open question
  WorkspaceUses mSince;    // told after it
  WorkspaceUses mAgain;    // to be told once more
  bool mAsked = false;
  std::optional<TimePoint> mAskedAt;
  std::optional<TimePoint> mUsedAt;
  TimePoint mAvoidUntil; // the first collector
  Millis mAvoidNext;     // for so long, when it does not reply
  std::uint64_t mQuestions = 0;
  int mFailures = 0; // in a row
};

} // namespace porttiller
