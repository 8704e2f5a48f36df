// Filter chain of the entry role. Each filter either fills in the context or
// ends the request with an answer.
#pragma once

#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceFilters.h"

#include <variant>
#include <vector>

namespace porttiller {

// Rejects HTTP versions other than 1.0 and 1.1.
class VersionFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

// Finds the route and chooses one of its services by weight.
class RouteFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

// Reads the caller's deadline, repeatability, request key and token.
class RequestOptionsFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

// Rejects requests that arrive so late in a planned stop that they may not end
// in time: another box can run them, and none has begun to.
class LateRequestFilter
{
public:
  explicit LateRequestFilter(const ShutdownDeadline& aShutdownDeadline)
    : mShutdownDeadline(aShutdownDeadline)
  {
  }
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;

private:
  const ShutdownDeadline& mShutdownDeadline;
};

using Filter = std::variant<VersionFilter,
                            RouteFilter,
                            WorkspaceFilter,
                            RequestOptionsFilter,
                            LateRequestFilter,
                            LimitFilter,
                            TokenFilter,
                            AttemptFilter>;

// Returns the answer of the first filter that has one; the last filter always
// has one.
CallerAnswer
ApplyFilters(const std::vector<Filter>& aFilters, RequestContext& aContext);

} // namespace porttiller
