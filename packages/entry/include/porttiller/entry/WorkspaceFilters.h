// The filters that hold callers to their workspaces: whose request it is, and
// whether that workspace is within its limit.
#pragma once

#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceGate.h"
#include "porttiller/telemetry/Metrics.h"

#include <optional>

namespace porttiller {

// Settles whose request it is, by the key that came with this very request.
// From here on the request carries neither the key nor a workspace that its
// sender named.
class WorkspaceFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

inline constexpr const char* kOverLimitReason = "over-limit";

// Turns requests beyond a workspace's limit away, before anything is sent.
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
