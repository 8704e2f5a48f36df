#include "porttiller/store/SettledWrite.h"

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

TEST_CASE("A lost answer of a write that took effect is settled as written")
{
  Fixture f;
  f.mPlatform.LoseWriteAnswers(1);
  const auto created = WriteSettled(f.mClient, kKey, 0, R"({"writer":"a/1"})");
  REQUIRE(created.has_value());
  CHECK(f.mPlatform.Writes() == 1);
  f.mPlatform.LoseWriteAnswers(1);
  const auto updated =
    WriteSettled(f.mClient, kKey, *created, R"({"writer":"a/2"})");
  REQUIRE(updated.has_value());
  CHECK(*updated > *created);
  CHECK(f.mPlatform.Writes() == 2);
}

TEST_CASE("A write lost on its way is written again, once")
{
  Fixture f;
  f.mPlatform.LoseWrites(1);
  CHECK(WriteSettled(f.mClient, kKey, 0, R"({"writer":"a/1"})").has_value());
  CHECK(f.mPlatform.Writes() == 1);
}

TEST_CASE("Of two writers of one version one wins and one sees a conflict")
{
  Fixture f;
  const auto version = f.mPlatform.Put(kKey, R"({"writer":"x"})");
  CHECK(WriteSettled(f.mClient, kKey, version, R"({"writer":"a"})"));
  f.mPlatform.LoseWriteAnswers(1);
  const auto late = WriteSettled(f.mClient, kKey, version, R"({"writer":"b"})");
  REQUIRE_FALSE(late.has_value());
  CHECK(late.error().mKind == StoreErrorKind::kConflict);
  CHECK(f.mPlatform.SpecOf(kKey) == R"({"writer":"a"})");
}

TEST_CASE("An outage is told as one")
{
  Fixture f;
  f.mPlatform.SetDown(true);
  CHECK(f.mClient.ListConfiguration().error().mKind ==
        StoreErrorKind::kUnavailable);
  f.mPlatform.SetDown(false);
  CHECK(f.mClient.ListConfiguration().has_value());
}

TEST_CASE("Watch returns what came after a revision, deletions too")
{
  Fixture f;
  f.mPlatform.Put({ "Service", "a" }, "{}");
  const auto list = f.mClient.ListConfiguration();
  REQUIRE(list.has_value());
  CHECK(list->mObjects.size() == 1);
  f.mPlatform.Remove({ "Service", "a" });
  f.mPlatform.Put({ "Other", "b" }, "{}");
  const auto news = f.mClient.WatchConfiguration(list->mTo, Millis(1000));
  REQUIRE(news.has_value());
  REQUIRE(news->mObjects.size() == 1);
  CHECK(news->mObjects[0].mDeleted);
  CHECK(news->mTo == 3);
}
