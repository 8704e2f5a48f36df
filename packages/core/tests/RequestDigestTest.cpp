#include "porttiller/core/RequestDigest.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("A request digest depends on each part and on where it ends")
{
  const auto digest = RequestDigest::Of({ "GET", "/a", "body" });
  CHECK(digest == RequestDigest::Of({ "GET", "/a", "body" }));
  CHECK(digest != RequestDigest::Of({ "GET", "/a", "body2" }));
  CHECK(digest != RequestDigest::Of({ "GET", "/ab", "ody" }));
  CHECK(!digest.Empty());
}

TEST_CASE("A request digest survives its text form")
{
  for (const auto& digest : { RequestDigest::Of({ "x" }),
                              RequestDigest(0, 1),
                              RequestDigest(~0ULL, 0) }) {
    CHECK(digest.ToString().size() == 32);
    CHECK(RequestDigest::Parse(digest.ToString()) == digest);
  }
  for (const char* text : { "", "0", "0000000000000000000000000000000g" }) {
    CHECK(!RequestDigest::Parse(text));
  }
}
