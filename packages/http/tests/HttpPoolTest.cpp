#include "porttiller/http/HttpPool.h"
#include "porttiller/http/HttpListener.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22951";
constexpr Millis kTimeout{ 5000 };

bool
IsAnswered(HttpPool& aPool)
{
  const auto until = Now() + kTimeout;
  const auto exchange =
    aPool.Begin({ .mMethod = "GET", .mTarget = "/" }, until);
  return exchange && (*exchange)->ReadAnswer(until, {}).has_value();
}

} // namespace

TEST_CASE("After DropIdle a pool opens a new connection")
{
  const auto listener =
    HttpListener::Make({ .mAddress = kAddress }, [](HttpCall&) {
      return HttpReply{ .mAnswer = { .mStatus = 200 } };
    });
  REQUIRE(listener.has_value());
  HttpPool pool({ .mAddress = kAddress });
  CHECK(IsAnswered(pool));
  CHECK(IsAnswered(pool));
  CHECK(pool.Opened() == 1);
  pool.DropIdle();
  CHECK(IsAnswered(pool));
  CHECK(pool.Opened() == 2);
}
