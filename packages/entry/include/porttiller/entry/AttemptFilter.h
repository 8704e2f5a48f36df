// The end of the filter chain: attempts at homes until the request has its
// final answer.
#pragma once

#include "porttiller/entry/AttemptPool.h"
#include "porttiller/entry/Dispatcher.h"
#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceGate.h"

#include <atomic>
#include <optional>

namespace porttiller {

// Names attempts; one for each daemon, so no id is used twice.
class AttemptNamer
{
public:
  AttemptNamer(BoxName aBox, Incarnation aIncarnation);
  AttemptId Next();

private:
  const BoxName mBox;
  const Incarnation mIncarnation;
  std::atomic<std::uint64_t> mNext{ 1 };
};

// What the attempt filters work with. Owned by the node.
struct AttemptServices
{
  EntryView& mView;
  Dispatcher& mDispatcher;
  Metrics& mMetrics;
  AttemptNamer& mNamer;
  AttemptPool& mPool;
  WorkspaceGate& mGate;
};

// A caller that was told "unknown" asks again: its home says what became of
// the first attempt before anything new is tried.
class TokenFilter
{
public:
  explicit TokenFilter(AttemptServices aServices)
    : mServices(aServices)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  AttemptServices mServices;
};

class AttemptFilter
{
public:
  explicit AttemptFilter(AttemptServices aServices)
    : mServices(aServices)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  AttemptServices mServices;
};

} // namespace porttiller
