// Connections to the store that go silent without an end or a reset.
#include "porttiller/store/ObjectClient.h"

#include "standin/LinkStandIn.h"
#include "standin/PlatformStandIn.h"

#include <doctest/doctest.h>

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

TEST_CASE("A watch over a connection that went silent goes on over a new one")
{
  Fixture f;
  const auto list = f.mClient.ListConfiguration();
  REQUIRE(list.has_value());
  f.mLink.SilenceForward();
  f.mLink.SilenceBackward();
  f.mPlatform.Put({ "Service", "b" }, "{}");
  const auto changes = f.mClient.WatchConfiguration(list->mTo, Millis(100));
  REQUIRE(changes.has_value());
  CHECK(changes->mObjects.size() == 1);
}
