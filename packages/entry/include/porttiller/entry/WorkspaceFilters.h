// Filters that authenticate the workspace of a request and enforce its rate
// limit.
#pragma once

#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceGate.h"
#include "porttiller/telemetry/Metrics.h"

#include <optional>

namespace porttiller {

// Finds the workspace by the API key of the request. Removes the key, and any
// workspace header that the sender set itself.
class WorkspaceFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

inline constexpr const char* kOverLimitReason = "over-limit";

// Rejects requests over the workspace's limit, before anything is sent.
class LimitFilter
{
public:
  LimitFilter(WorkspaceGate& aGate, Metrics& aMetrics)
    : mGate(aGate)
    , mMetrics(aMetrics)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  WorkspaceGate& mGate;
  Metrics& mMetrics;
};

} // namespace porttiller
