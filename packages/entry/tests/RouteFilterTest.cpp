// Which route a path takes, and which paths are rejected.
#include "porttiller/entry/Filters.h"

#include <doctest/doctest.h>
#include <utility>

using namespace porttiller;

namespace {

constexpr const char* kOnce = "/once/";
constexpr const char* kStatus = "/once/status/"; // may be repeated

RouteSpec
Route(const char* aPrefix)
{
  RouteSpec route;
  route.mPathPrefix = aPrefix;
  route.mTargets = { { .mService = ServiceName("ledger"), .mWeight = 1 } };
  return route;
}

// The prefix of the route, or the reason of the rejection.
std::string
Find(const std::string& aTarget)
{
  const auto snapshot = std::make_shared<Snapshot>();
  snapshot->mRevision = 1;
  snapshot->mRoutes.Add(Route(kOnce));
  snapshot->mRoutes.Add(Route(kStatus));
  const Settings settings;
  const EdgeHeaders names;
  RequestContext context{ .mSettings = settings,
                          .mNames = names,
                          .mSnapshot = snapshot,
                          .mHttp = { .mMethod = "POST", .mTarget = aTarget } };
  const auto answer = RouteFilter().Apply(context);
  return answer ? answer->mReason : context.mRoute->mPathPrefix;
}

} // namespace

// An encoded slash selected the route of another path, which allowed to repeat
// a request that must run once.
TEST_CASE("A path takes a route by the form in which it is sent on")
{
  for (const auto& example : { std::pair("/once/status/1", kStatus),
                               std::pair("/once/status/1?to=%2F", kStatus),
                               std::pair("/once/status/%2F", kStatus),
                               std::pair("/once/x?/once/status/", kOnce),
                               std::pair("/once/status%2F1", kOnce),
                               std::pair("/once/status%2f1", kOnce),
                               std::pair("/once/st%61tus/1", kOnce),
                               std::pair("/once/status;a/1", kOnce),
                               std::pair("/once//status/1", kOnce),
                               std::pair("/once%2Fstatus/1", "no-route"),
                               std::pair("/%6Fnce/1", "no-route") }) {
    const std::string target = example.first;
    CAPTURE(target);
    CHECK(Find(target) == example.second);
  }
}

TEST_CASE("A path that parsers may read differently is rejected")
{
  for (const auto* target : { "//once/1",
                              "/once/../1",
                              "/once/%2e%2E/1",
                              "/once/..%2F1",
                              "/once/%2e/1",
                              "/once/%zz",
                              "/once/%2",
                              "once/1" }) {
    CAPTURE(target);
    CHECK(Find(target) == "bad-target");
  }
}
