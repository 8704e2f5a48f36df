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

private:
  ObjectSet mSet;
  SnapshotBuilder mBuilder;
};

} // namespace

TEST_CASE("A rejected version leaves the last good one in force")
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

TEST_CASE("A route is in force only while its service is")
{
  Fixture fixture;
  const auto early = fixture.Apply(
    MakeObject("Route", "r", 1, R"({"path_prefix": "/a", "service": "s"})"));
  CHECK(early->mRoutes.Find("GET", "/a") == nullptr);
  CHECK(early->mRejections.size() == 1);
  const auto both = fixture.Apply(MakeObject("Service", "s", 2, "{}"));
  CHECK(both->mRoutes.Find("GET", "/a/b") != nullptr);
  CHECK(both->mRejections.empty());
  const auto gone = fixture.Apply(MakeObject("Service", "s", 3, ""));
  CHECK(gone->mRoutes.Find("GET", "/a/b") == nullptr);
}

TEST_CASE("RouteTable takes the longest prefix of whole segments")
{
  RouteTable table;
  table.Add({ .mName = "root", .mPathPrefix = "/" });
  table.Add({ .mName = "a", .mPathPrefix = "/a" });
  table.Add({ .mName = "ab", .mPathPrefix = "/a/b" });
  table.Add(
    { .mName = "ab-post", .mPathPrefix = "/a/b", .mMethods = { "POST" } });
  CHECK(table.Find("GET", "/a/b/c")->mName == "ab");
  CHECK(table.Find("POST", "/a/b/c")->mName == "ab-post");
  CHECK(table.Find("GET", "/ab")->mName == "root");
  CHECK(table.Find("GET", "/a/c")->mName == "a");
}
