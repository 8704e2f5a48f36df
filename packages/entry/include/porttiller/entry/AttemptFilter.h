// The last filters of the chain: they send attempts to homes until the request
// has its final answer.
#pragma once

#include "porttiller/entry/AttemptPool.h"
#include "porttiller/entry/Dispatcher.h"
#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceGate.h"

#include <atomic>
#include <optional>

namespace porttiller {

// Generates attempt ids. One instance per daemon keeps them unique.
class AttemptIdGenerator
{
public:
  AttemptIdGenerator(BoxName aBox, Incarnation aIncarnation);
  AttemptId Next();

private:
  const BoxName mBox;
  const Incarnation mIncarnation;
  std::atomic<std::uint64_t> mNext{ 1 };
};

// Objects that the attempt filters use. Owned by the node.
struct AttemptDependencies
{
  EntryView& mView;
  Dispatcher& mDispatcher;
  Metrics& mMetrics;
  AttemptIdGenerator& mAttemptIdGenerator;
  AttemptPool& mPool;
  WorkspaceGate& mGate;
  CrashMonitor& mCrashes;
  const ShutdownDeadline& mShutdownDeadline;
};

// Handles a caller that retries with the token of an "unknown" outcome: the
// home named by the token revokes the earlier attempt or reports its state
// before a new one is sent.
class TokenFilter
{
public:
  explicit TokenFilter(AttemptDependencies aDependencies)
    : mDependencies(aDependencies)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  AttemptDependencies mDependencies;
};

// Sends the request to homes; always returns an answer.
class AttemptFilter
{
public:
  explicit AttemptFilter(AttemptDependencies aDependencies)
    : mDependencies(aDependencies)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  AttemptDependencies mDependencies;
};

} // namespace porttiller
