#include "porttiller/store/WriteWithReadBack.h"

#include "standin/PlatformStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const ObjectKey kKey{ "EjectionLedger", "ledger" };

class Fixture
{
public:
  Fixture()
    : mPlatform("127.0.0.1:0")
    , mClient({ .mAddress = mPlatform.Address() })
  {
  }

  standin::PlatformStandIn mPlatform;
  ObjectClient mClient;
};

} // namespace

TEST_CASE("A write that took effect succeeds though its answer is lost")
{
  Fixture f;
  f.mPlatform.LoseWriteAnswers(1);
  const auto created =
    WriteWithReadBack(f.mClient, kKey, 0, R"({"writer":"a/1"})");
  REQUIRE(created.has_value());
  CHECK(f.mPlatform.Writes() == 1);
  f.mPlatform.LoseWriteAnswers(1);
  const auto updated =
    WriteWithReadBack(f.mClient, kKey, *created, R"({"writer":"a/2"})");
  REQUIRE(updated.has_value());
  CHECK(*updated > *created);
  CHECK(f.mPlatform.Writes() == 2);
}

TEST_CASE("A write that is lost in transit is sent again, once")
{
  Fixture f;
  f.mPlatform.LoseWrites(1);
  CHECK(
    WriteWithReadBack(f.mClient, kKey, 0, R"({"writer":"a/1"})").has_value());
  CHECK(f.mPlatform.Writes() == 1);
}

TEST_CASE("Of two writes to one version one succeeds and one gets a conflict")
{
  Fixture f;
  const auto version = f.mPlatform.Put(kKey, R"({"writer":"x"})");
  CHECK(WriteWithReadBack(f.mClient, kKey, version, R"({"writer":"a"})"));
  f.mPlatform.LoseWriteAnswers(1);
  const auto second =
    WriteWithReadBack(f.mClient, kKey, version, R"({"writer":"b"})");
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().mKind == StoreErrorKind::kConflict);
  CHECK(f.mPlatform.SpecOf(kKey) == R"({"writer":"a"})");
}

TEST_CASE("An outage of the store is reported as kUnavailable")
{
  Fixture f;
  f.mPlatform.SetDown(true);
  CHECK(f.mClient.ListConfiguration().error().mKind ==
        StoreErrorKind::kUnavailable);
  f.mPlatform.SetDown(false);
  CHECK(f.mClient.ListConfiguration().has_value());
}

TEST_CASE("Watch returns the changes after a revision, deletions included")
{
  Fixture f;
  f.mPlatform.Put({ "Service", "a" }, "{}");
  const auto list = f.mClient.ListConfiguration();
  REQUIRE(list.has_value());
  CHECK(list->mObjects.size() == 1);
  f.mPlatform.Remove({ "Service", "a" });
  f.mPlatform.Put({ "Other", "b" }, "{}");
  const auto changes = f.mClient.WatchConfiguration(list->mTo, Millis(1000));
  REQUIRE(changes.has_value());
  REQUIRE(changes->mObjects.size() == 1);
  CHECK(changes->mObjects[0].mDeleted);
  CHECK(changes->mTo == 3);
}
