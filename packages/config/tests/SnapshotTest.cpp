#include "porttiller/config/Snapshot.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

Object
MakeObject(const std::string& aKind,
           const std::string& aName,
           std::uint64_t aVersion,
           const std::string& aSpec)
{
  return { .mKey = { aKind, aName },
           .mVersion = aVersion,
           .mDeleted = aSpec.empty(),
           .mSpecJson = aSpec };
}

class Fixture
{
public:
  SnapshotPtr Apply(const Object& aObject)
  {
    const auto changed = mSet.Apply({ .mFrom = mSet.Revision(),
                                      .mTo = aObject.mVersion,
                                      .mFull = false,
                                      .mObjects = { aObject } });
    REQUIRE(changed.has_value());
    return mBuilder.Build(mSet, *changed);
  }

  SnapshotPtr Overlay(const std::vector<BoxRecord>& aRecords)
  {
    return mBuilder.Build(mSet, {}, aRecords);
  }

private:
  ObjectSet mSet;
  SnapshotBuilder mBuilder;
};

} // namespace

TEST_CASE("A rejected version leaves the last valid one in force")
{
  Fixture fixture;
  fixture.Apply(MakeObject("Service", "s", 1, R"({"floor_slots": 3})"));
  const auto bad =
    fixture.Apply(MakeObject("Service", "s", 2, R"({"floor_slots": -1})"));
  CHECK(bad->FindService(ServiceName("s"))->mSpec.mFloorSlots == 3);
  REQUIRE(bad->mRejections.size() == 1);
  CHECK(bad->mRejections[0].mVersion == 2);
  CHECK(bad->mRejections[0].mErrors[0].mPath == "spec.floor_slots");
  const auto good =
    fixture.Apply(MakeObject("Service", "s", 3, R"({"floor_slots": 4})"));
  CHECK(good->FindService(ServiceName("s"))->mSpec.mFloorSlots == 4);
  CHECK(good->mRejections.empty());
}

TEST_CASE("A route is in force only while its service is in force")
{
  Fixture fixture;
  const auto early = fixture.Apply(
    MakeObject("Route", "r", 1, R"({"path_prefix": "/a", "service": "s"})"));
  CHECK(early->mRoutes.Find("", "GET", "/a") == nullptr);
  CHECK(early->mRejections.size() == 1);
  const auto both = fixture.Apply(MakeObject("Service", "s", 2, "{}"));
  CHECK(both->mRoutes.Find("", "GET", "/a/b") != nullptr);
  CHECK(both->mRejections.empty());
  const auto removed = fixture.Apply(MakeObject("Service", "s", 3, ""));
  CHECK(removed->mRoutes.Find("", "GET", "/a/b") == nullptr);
}

TEST_CASE("RouteTable matches the longest prefix of whole segments")
{
  RouteTable table;
  table.Add({ .mName = "root", .mPathPrefix = "/" });
  table.Add({ .mName = "a", .mPathPrefix = "/a" });
  table.Add({ .mName = "ab", .mPathPrefix = "/a/b" });
  table.Add(
    { .mName = "ab-post", .mPathPrefix = "/a/b", .mMethods = { "POST" } });
  CHECK(table.Find("", "GET", "/a/b/c")->mName == "ab");
  CHECK(table.Find("", "POST", "/a/b/c")->mName == "ab-post");
  CHECK(table.Find("", "GET", "/ab")->mName == "root");
  CHECK(table.Find("", "GET", "/a/c")->mName == "a");
}

TEST_CASE("Routes of a host take precedence over routes for any host")
{
  RouteTable table;
  table.Add({ .mName = "any", .mPathPrefix = "/a/b" });
  table.Add({ .mName = "own", .mHost = "h", .mPathPrefix = "/a/" });
  table.Add({ .mName = "own-deep", .mHost = "h", .mPathPrefix = "/a/b/" });
  CHECK(table.Find("h", "GET", "/a/b/c")->mName == "own-deep");
  CHECK(table.Find("h", "GET", "/a/bc")->mName == "own");
  CHECK(table.Find("h", "GET", "/a/")->mName == "own");
  CHECK(table.Find("h", "GET", "/a") == nullptr);
  CHECK(table.Find("other", "GET", "/a/b/c")->mName == "any");
  CHECK(table.Find("other", "GET", "/a/") == nullptr);
  CHECK(table.Find("h", "GET", "") == nullptr);
}

TEST_CASE("Boxes that register themselves add their servers")
{
  Fixture fixture;
  fixture.Apply(MakeObject("Service", "s", 1, "{}"));
  BoxRecord record{ .mIncarnation = Incarnation(7), .mRevision = 3 };
  record.mBox.mName = BoxName("b");
  record.mServer =
    ServerRecord{ .mIncarnation = ServerIncarnation(BackendServerName("i-1")),
                  .mService = ServiceName("s"),
                  .mAddress = "127.0.0.1:1",
                  .mSlots = 4,
                  .mState = ServerState::kDraining };
  const auto snapshot = fixture.Overlay({ record });
  REQUIRE(snapshot->FindBox(BoxName("b")) != nullptr);
  const auto& servers = snapshot->FindService(ServiceName("s"))->mServers;
  REQUIRE(servers.size() == 1);
  CHECK(servers[0].mLeaving);
  CHECK(servers[0].mBox == BoxName("b"));
  record.mServer->mService = ServiceName("unknown");
  CHECK(fixture.Overlay({ record })
          ->FindService(ServiceName("s"))
          ->mServers.empty());
}

TEST_CASE("A split route needs a weight above 0 and only services in force")
{
  Fixture fixture;
  fixture.Apply(MakeObject("Service", "s", 1, "{}"));
  const auto route = MakeObject("Route",
                                "r",
                                2,
                                R"({"path_prefix": "/a", "host": "H.example",
      "split": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
      "timeout_ms": 1200, "target_ms": 400, "max_attempts": 2})");
  CHECK(fixture.Apply(route)->mRoutes.Size() == 0);
  const auto both = fixture.Apply(MakeObject("Service", "t", 3, "{}"));
  const auto* found = both->mRoutes.Find("h.example", "GET", "/a/x");
  REQUIRE(found != nullptr);
  CHECK(found->mTargets.size() == 2);
  CHECK(found->mTimeout == Millis(1200));
  CHECK(found->mTarget == Millis(400));
  CHECK(found->mMaxAttempts == 2);
  // Each service of the split knows the longest target of its routes.
  CHECK(both->FindService(ServiceName("t"))->mLongestTarget == Millis(400));
  const auto bad = fixture.Apply(MakeObject(
    "Route",
    "r2",
    4,
    R"({"path_prefix": "/b", "split": [{"service": "s", "weight": 0}]})"));
  CHECK(bad->mRejections.size() == 1);
}
