// Connections to the store that stop delivering data without a FIN or RST.
#include "porttiller/store/ObjectClient.h"

#include "standin/LinkStandIn.h"
#include "standin/PlatformStandIn.h"

#include <doctest/doctest.h>
#include <thread>

using namespace porttiller;

namespace {

class Fixture
{
public:
  Fixture()
    : mPlatform("127.0.0.1:0")
    , mLink(mPlatform.Address())
    , mClient({ .mAddress = mLink.Address(), .mTimeout = Millis(1000) })
  {
    mPlatform.Put({ "Service", "a" }, "{}");
  }

  standin::PlatformStandIn mPlatform;
  standin::LinkStandIn mLink;
  ObjectClient mClient;
};

} // namespace

TEST_CASE("A watch over a silent connection continues over a new one")
{
  Fixture f;
  const auto list = f.mClient.ListConfiguration();
  REQUIRE(list.has_value());
  f.mLink.Silence();
  f.mPlatform.Put({ "Service", "b" }, "{}");
  const auto changes = f.mClient.WatchConfiguration(list->mTo, Millis(100));
  REQUIRE(changes.has_value());
  CHECK(changes->mObjects.size() == 1);
}

// A store that cuts its watches may deliver nothing to new ones for a while, so
// that a change made before the cut stayed unknown until the new watch ended.
TEST_CASE("A watch whose connection is closed is repeated without waiting")
{
  Fixture f;
  const auto list = f.mClient.ListConfiguration();
  REQUIRE(list.has_value());
  const auto calls = f.mPlatform.Calls();
  std::thread closer([&] {
    while (f.mPlatform.Calls() == calls) {
      std::this_thread::sleep_for(Millis(1));
    }
    f.mLink.Reset();
  });
  // Nothing changes: a repeat that waits again would last an hour.
  const auto changes =
    f.mClient.WatchConfiguration(list->mTo, Millis(3'600'000));
  closer.join();
  REQUIRE(changes.has_value());
  CHECK(changes->mObjects.empty());
}

TEST_CASE("The failure of a reused connection is reported once")
{
  Fixture f;
  int failures = 0;
  ObjectClient client(
    { .mAddress = f.mLink.Address(),
      .mTimeout = Millis(1000),
      .mReusedReadTimeout = Millis(50),
      .mOnReusedReadFailed = [&](Millis, const std::string&) { ++failures; } });
  REQUIRE(client.ListConfiguration().has_value());
  f.mLink.SilenceBackward();
  CHECK(client.ListConfiguration().has_value());
  CHECK(client.ListConfiguration().has_value());
  CHECK(failures == 1);
}

TEST_CASE("An error answered over a reused connection is not retried")
{
  Fixture f;
  REQUIRE(f.mClient.ListConfiguration().has_value());
  const auto calls = f.mPlatform.Calls();
  const auto missing = f.mClient.Get({ "Service", "none" });
  REQUIRE_FALSE(missing.has_value());
  CHECK(missing.error().mKind == StoreErrorKind::kNotFound);
  CHECK(f.mPlatform.Calls() == calls + 1);
}

TEST_CASE("A write is not sent again over a new connection")
{
  Fixture f;
  REQUIRE(f.mClient.ListConfiguration().has_value());
  f.mLink.SilenceBackward();
  const auto created = f.mClient.Create({ "Service", "c" }, "{}");
  REQUIRE_FALSE(created.has_value());
  CHECK(created.error().mKind == StoreErrorKind::kAmbiguous);
  CHECK(f.mPlatform.Writes() == 2);
}
