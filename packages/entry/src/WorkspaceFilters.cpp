#include "porttiller/entry/WorkspaceFilters.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;

// Removes all headers of this name. Returns the value if there was exactly one
// and it was not empty, else null.
std::optional<std::string>
TakeSingleHeader(HttpHeaders& aHeaders, const std::string& aName)
{
  auto value = HeaderValue(aHeaders, aName);
  const bool only = RemoveHeader(aHeaders, aName) == 1 && !value.empty();
  return only ? std::optional(std::move(value)) : std::nullopt;
}

CallerAnswer
Unauthorized(const char* aReason)
{
  return MakeProxyAnswer(kUnauthorized, Outcome::kNotRun, aReason);
}

void
LogOverLimit(const RequestContext& aContext, const LimitVerdict& aVerdict)
{
  constexpr double kPermille = 1000.0;
  LogLine(LogLevel::kInfo, "request_over_limit")
    .With("request", aContext.mRequestId)
    .With("workspace", aContext.mWorkspace->mName.Value())
    .With("route", aContext.mRoute->mName)
    .With("rate_per_s",
          static_cast<std::int64_t>(aContext.mWorkspace->mRatePerSecond))
    .With("share_permille",
          static_cast<std::int64_t>(aVerdict.mShare * kPermille))
    .With("share_from", aVerdict.mAge ? "collector" : "own-part")
    .With("age_ms", aVerdict.mAge.value_or(Millis(0)).count())
    .With("retry_after_ms", aVerdict.mRetryAfter.count());
}

} // namespace

std::optional<CallerAnswer>
WorkspaceFilter::Apply(RequestContext& aContext) const
{
  auto& headers = aContext.mHttp.mHeaders;
  const auto apiKey = TakeSingleHeader(headers, aContext.mNames.mKey);
  RemoveHeader(headers, aContext.mNames.mWorkspace);
  aContext.mPriority = aContext.mRoute->mPriority;
  const auto& workspaces = *aContext.mSnapshot->mWorkspaces;
  if (workspaces.Empty() || aContext.mRoute->mPublic) {
    return std::nullopt;
  }
  if (!apiKey) {
    return Unauthorized("no-key");
  }
  aContext.mWorkspace = workspaces.FindByKey(*apiKey);
  if (!aContext.mWorkspace) {
    return Unauthorized("unknown-key");
  }
  aContext.mPriority =
    aContext.mWorkspace->mPriority.value_or(aContext.mRoute->mPriority);
  return std::nullopt;
}

std::optional<CallerAnswer>
LimitFilter::Apply(RequestContext& aContext) const
{
  if (!aContext.mWorkspace || !aContext.mWorkspace->Limited()) {
    return std::nullopt;
  }
  const auto verdict =
    mGate.Offer(*aContext.mWorkspace, aContext.mRoute->mPriority);
  aContext.mCountedAgainstLimit = verdict.mAdmitted;
  if (verdict.mAdmitted) {
    return std::nullopt;
  }
  mMetrics.OverLimit().Increment();
  LogOverLimit(aContext, verdict);
  auto answer =
    MakeProxyAnswer(kTooManyRequests, Outcome::kNotRun, kOverLimitReason);
  answer.mRetryAfter = verdict.mRetryAfter;
  return answer;
}

} // namespace porttiller
