// When an entry tells what of its counts to which collector. Counts go out
// every tick without a reply; every few ticks a reply is asked for, which shows
// that the collector has them all. Those that it may not have go to the other
// collector of the zone: counted twice is better than not at all.
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
  // A collector that did not reply is passed over for so long.
  Millis mAvoidFor{ 3000 };
};

// One message to a collector.
struct UseReport
{
  BoxName mCollector;
  std::uint64_t mQuestion = 0; // not 0: a reply is wanted
  WorkspaceUses mUses;
};

// Not thread-safe: its owner holds the lock, also of the gate.
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
  void OnReply(std::uint64_t aQuestion,
               bool aReplied,
               LimitGate& aGate,
               TimePoint aNow);

private:
  void MoveTo(const BoxName& aCollector, LimitGate& aGate);

  const UseReporterOptions mOptions;
  BoxName mCollector;      // that has been told the following
  WorkspaceUses mAskedFor; // told with or before the open question
  WorkspaceUses mSince;    // told after it
  bool mAsked = false;
  std::optional<TimePoint> mAskedAt;
  std::optional<TimePoint> mUsedAt;
  TimePoint mAvoidUntil; // the first collector
  std::uint64_t mQuestions = 0;
};

} // namespace porttiller
