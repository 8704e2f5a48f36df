#include "porttiller/entry/Filters.h"

#include "porttiller/hop/HopHeaders.h"
#include "porttiller/hop/Random.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <algorithm>
#include <cassert>

namespace porttiller {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Part of the caller's deadline that is reserved for the answer to reach it.
constexpr Millis kReturnTimeReserve{ 25 };
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxRequestKeyBytes = 256;
constexpr Millis kStartingRetryAfter{ 1000 };

CallerAnswer
RejectAndClose(int aStatus, const std::string& aReason)
{
  auto answer = MakeProxyAnswer(aStatus, Outcome::kNotRun, aReason);
  answer.mCloseConnection = true;
  return answer;
}

// The Host header in the form used by routes: lower case, without the port.
std::string
HostOf(const HttpHeaders& aHeaders)
{
  auto host = Poco::toLower(HeaderValue(aHeaders, "Host"));
  const auto colon = host.rfind(':');
  if (colon != std::string::npos &&
      host.find(']', colon) == std::string::npos) {
    host.resize(colon);
  }
  return host;
}

// Picks one of the targets at random, in proportion to their weights.
const RouteTarget&
DrawTarget(const RouteSpec& aRoute)
{
  const auto& targets = aRoute.mTargets;
  if (targets.size() == 1) {
    return targets.front();
  }
  std::uint64_t sum = 0;
  for (const auto& target : targets) {
    sum += static_cast<std::uint64_t>(target.mWeight);
  }
  assert(sum > 0); // ensured by ParseResource
  auto draw = Random() % std::max<std::uint64_t>(1, sum);
  for (const auto& target : targets) {
    const auto weight = static_cast<std::uint64_t>(target.mWeight);
    if (draw < weight) {
      return target;
    }
    draw -= weight;
  }
  return targets.back();
}

// True for a path that all parsers read alike: absolute, not starting with "//"
// (which could begin an authority), without dot segments to resolve. aPath is
// decoded.
bool
IsPlainPath(const std::string& aTarget, const std::string& aPath)
{
  if (!aTarget.starts_with('/') || aTarget.starts_with("//")) {
    return false;
  }
  const auto path = aPath + "/";
  return path.find("/./") == std::string::npos &&
         path.find("/../") == std::string::npos;
}

bool
IsRepeatableMethod(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD";
}

} // namespace

CallerAnswer
MakeProxyAnswer(int aStatus, Outcome aOutcome, const std::string& aReason)
{
  CallerAnswer answer{ .mStatus = aStatus,
                       .mOutcome = aOutcome,
                       .mReason = aReason };
  answer.mHeaders.push_back({ "Content-Type", "application/json" });
  answer.mBody = "{\"reason\":\"" + aReason + "\",\"outcome\":\"" +
                 std::string(ToText(aOutcome)) + "\"}\n";
  return answer;
}

CallerAnswer
ApplyFilters(const std::vector<Filter>& aFilters, RequestContext& aContext)
{
  for (const auto& filter : aFilters) {
    auto answer = std::visit(
      [&](const auto& aFilter) { return aFilter.Apply(aContext); }, filter);
    if (answer) {
      return *answer;
    }
  }
  return MakeProxyAnswer(kUnavailable, Outcome::kNotRun, "no-filter");
}

std::optional<CallerAnswer>
VersionFilter::Apply(RequestContext& aContext) const
{
  const auto& version = aContext.mHttp.mVersion;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return RejectAndClose(kBadRequest, "bad-version");
  }
  return std::nullopt;
}

std::optional<CallerAnswer>
RouteFilter::Apply(RequestContext& aContext) const
{
  const auto& target = aContext.mHttp.mTarget;
  try {
    if (!IsPlainPath(target, Poco::URI(target).getPath())) {
      return RejectAndClose(kBadRequest, "bad-target");
    }
  } catch (const Poco::Exception&) {
    return RejectAndClose(kBadRequest, "bad-target");
  }
  aContext.mPath = target.substr(0, target.find_first_of("?#"));
  if (!aContext.mSnapshot || aContext.mSnapshot->mRevision == 0) {
    auto answer =
      MakeProxyAnswer(kUnavailable, Outcome::kNotRun, "no-configuration");
    answer.mRetryAfter = kStartingRetryAfter;
    return answer;
  }
  const auto& snapshot = *aContext.mSnapshot;
  aContext.mRoute = snapshot.mRoutes.Find(
    HostOf(aContext.mHttp.mHeaders), aContext.mHttp.mMethod, aContext.mPath);
  if (aContext.mRoute == nullptr) {
    return MakeProxyAnswer(kNotFound, Outcome::kNotRun, "no-route");
  }
  aContext.mService =
    snapshot.FindService(DrawTarget(*aContext.mRoute).mService);
  return std::nullopt;
}

std::optional<CallerAnswer>
LateRequestFilter::Apply(RequestContext& aContext) const
{
  if (!mShutdownDeadline.IsTooLateFor(aContext.mDeadline)) {
    return std::nullopt;
  }
  return RejectAndClose(kUnavailable,
                        std::string(ToText(RejectReason::kLeaving)));
}

std::optional<CallerAnswer>
RequestOptionsFilter::Apply(RequestContext& aContext) const
{
  const auto& headers = aContext.mHttp.mHeaders;
  auto budget = aContext.mService->mSpec.mDefaultDeadline;
  const auto deadline = HeaderValue(headers, aContext.mNames.mDeadline);
  if (!deadline.empty()) {
    const auto millis = ParseUnsigned(deadline);
    if (!millis || *millis == 0 || *millis > kMaxDeadlineMs) {
      return RejectAndClose(kBadRequest, "bad-deadline");
    }
    budget = std::max(Millis(1), Millis(*millis) - kReturnTimeReserve);
  }
  if (aContext.mRoute->mTimeout) {
    budget = std::min(budget, *aContext.mRoute->mTimeout);
  }
  aContext.mDeadline = aContext.mArrival + budget;

  const auto repeatable = HeaderValue(headers, hop::kRepeatable);
  if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
    return RejectAndClose(kBadRequest, "bad-repeatable");
  }
  aContext.mRepeatable = aContext.mRoute->mRepeatable.value_or(
    IsRepeatableMethod(aContext.mHttp.mMethod));
  if (!repeatable.empty()) {
    aContext.mRepeatable = repeatable == "yes";
  }
  aContext.mRequestKey = HeaderValue(headers, hop::kRequestKey);
  aContext.mToken = HeaderValue(headers, hop::kToken);
  if (aContext.mRequestKey.size() > kMaxRequestKeyBytes) {
    return RejectAndClose(kBadRequest, "bad-request-key");
  }
  return std::nullopt;
}

} // namespace porttiller
