// The filter chain of the entry role: each filter either fills in the context
// or ends the request with an answer.
#pragma once

#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/entry/RequestContext.h"
#include "porttiller/entry/WorkspaceFilters.h"

#include <variant>
#include <vector>

namespace porttiller {

// Refuses versions of HTTP that are not spoken here.
class VersionFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

// Finds the route and its service.
class RouteFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

// Reads the caller's deadline, repeatability, key and token.
class TermsFilter
{
public:
  std::optional<CallerAnswer> Apply(RequestContext& aContext) const;
};

using Filter = std::variant<VersionFilter,
                            RouteFilter,
                            WorkspaceFilter,
                            TermsFilter,
                            LimitFilter,
                            TokenFilter,
                            AttemptFilter>;

// The answer of the first filter that has one; the last always has.
CallerAnswer
ApplyFilters(const std::vector<Filter>& aFilters, RequestContext& aContext);

} // namespace porttiller
