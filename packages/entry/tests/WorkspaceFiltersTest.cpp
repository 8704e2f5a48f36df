#include "porttiller/entry/WorkspaceFilters.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const EdgeHeaders kNames{ .mKey = "Key", .mWorkspace = "Workspace" };

// Makes requests for one route, with two workspaces configured.
class Fixture
{
public:
  Fixture()
    : mWorkspaces(std::make_shared<WorkspaceTable>())
    , mSnapshot(std::make_shared<Snapshot>())
  {
    mWorkspaces->Put({ .mName = WorkspaceName("w"),
                       .mKeys = { "one", "two" },
                       .mPriority = Priority::kCritical,
                       .mRatePerSecond = 100.0,
                       .mBurst = 100.0 });
    mWorkspaces->Put({ .mName = WorkspaceName("plain"), .mKeys = { "three" } });
    mSnapshot->mWorkspaces = mWorkspaces;
    mRoute.mPriority = Priority::kSheddable;
  }

  RequestContext Request(HttpHeaders aHeaders)
  {
    return { .mSettings = mSettings,
             .mNames = kNames,
             .mSnapshot = mSnapshot,
             .mArrival = Now(),
             .mHttp = { .mMethod = "GET",
                        .mTarget = "/",
                        .mHeaders = std::move(aHeaders) },
             .mCancelled = Cancellation::Make(),
             .mRoute = &mRoute };
  }

  int StatusOf(HttpHeaders aHeaders)
  {
    auto context = Request(std::move(aHeaders));
    const auto answer = WorkspaceFilter().Apply(context);
    return answer ? answer->mStatus : 0;
  }

  std::shared_ptr<WorkspaceTable> mWorkspaces;
  std::shared_ptr<Snapshot> mSnapshot;
  RouteSpec mRoute;

private:
  Settings mSettings;
};

} // namespace

TEST_CASE("An API key selects its workspace and is not forwarded")
{
  Fixture fixture;
  auto context = fixture.Request(
    { { "key", "two" }, { "WORKSPACE", "forged" }, { "Other", "kept" } });
  CHECK_FALSE(WorkspaceFilter().Apply(context));
  REQUIRE(context.mWorkspace);
  CHECK(context.mWorkspace->mName == WorkspaceName("w"));
  CHECK(context.mHttp.mHeaders == HttpHeaders{ { "Other", "kept" } });
  CHECK(context.mPriority == Priority::kCritical);
  auto plain = fixture.Request({ { "Key", "three" } });
  CHECK_FALSE(WorkspaceFilter().Apply(plain));
  CHECK(plain.mPriority == Priority::kSheddable);
}

TEST_CASE("Missing, empty, unknown and repeated API keys are rejected")
{
  Fixture fixture;
  CHECK(fixture.StatusOf({}) == 401);
  CHECK(fixture.StatusOf({ { "Key", "" } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "four" } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "one " } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "one" }, { "key", "one" } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "" }, { "Key", "one" } }) == 401);
  CHECK(fixture.StatusOf({ { "Workspace", "w" } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "one" } }) == 0);
  auto context = fixture.Request({ { "Key", "four" } });
  const auto answer = WorkspaceFilter().Apply(context);
  REQUIRE(answer);
  CHECK(answer->mOutcome == Outcome::kNotRun);
  CHECK(answer->mBody.View().find("four") == std::string::npos);
}

TEST_CASE("Public routes and configurations without workspaces need no API key")
{
  Fixture fixture;
  fixture.mRoute.mPublic = true;
  for (const auto* key : { "", "four", "one" }) {
    auto context =
      fixture.Request({ { "Key", key }, { "Workspace", "forged" } });
    CHECK_FALSE(WorkspaceFilter().Apply(context));
    CHECK(context.mWorkspace == nullptr);
    CHECK(context.mHttp.mHeaders.empty());
  }
  fixture.mRoute.mPublic = false;
  fixture.mSnapshot->mWorkspaces = std::make_shared<WorkspaceTable>();
  auto context = fixture.Request({ { "Key", "one" } });
  CHECK_FALSE(WorkspaceFilter().Apply(context));
  CHECK(context.mHttp.mHeaders.empty());
}

TEST_CASE("Each request is checked against the configuration in force")
{
  Fixture fixture;
  CHECK(fixture.StatusOf({ { "Key", "one" } }) == 0);
  fixture.mWorkspaces->Put({ .mName = WorkspaceName("w"), .mKeys = { "two" } });
  CHECK(fixture.StatusOf({ { "Key", "one" } }) == 401);
  CHECK(fixture.StatusOf({ { "Key", "two" } }) == 0);
}

TEST_CASE("Requests over the admitted share get 429 and a retry time")
{
  Fixture fixture;
  WorkspaceGate gate;
  Metrics metrics;
  const LimitFilter filter(gate, metrics);
  gate.OnGrants(
    { { .mWorkspace = WorkspaceName("w"), .mShares = { 0.25, 0.25, 0.25 } } },
    false);
  int admitted = 0;
  constexpr int kRequests = 100;
  for (int i = 0; i < kRequests; ++i) {
    auto context = fixture.Request({ { "Key", "one" } });
    REQUIRE_FALSE(WorkspaceFilter().Apply(context));
    const auto answer = filter.Apply(context);
    admitted += answer ? 0 : 1;
    CHECK(context.mCountedAgainstLimit == !answer);
    if (answer) {
      CHECK(answer->mStatus == 429);
      CHECK(answer->mOutcome == Outcome::kNotRun);
      CHECK(answer->mRetryAfter > Millis(0));
    }
  }
  CHECK(admitted == kRequests / 4);
  // A workspace without a limit is not counted.
  auto context = fixture.Request({ { "Key", "three" } });
  REQUIRE_FALSE(WorkspaceFilter().Apply(context));
  CHECK_FALSE(filter.Apply(context));
  CHECK_FALSE(context.mCountedAgainstLimit);
}
