#include "porttiller/hop/RequestDigests.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("Repeats of a request have one digest, other requests have others")
{
  const EdgeHeaders names{ .mRequestId = "Id", .mCallerService = "Caller" };
  const HttpRequestData http{ .mMethod = "GET",
                              .mTarget = "/a?b=c",
                              .mBody = "text" };
  const HttpHeaders headers{ { "Host", "h" },
                             { "Id", "1" },
                             { "Caller", "ledger" } };
  const auto digest = DigestOf(http, headers, names);
  SUBCASE("its id does not matter")
  {
    auto repeat = headers;
    repeat[1].mValue = "2";
    CHECK(DigestOf(http, repeat, names) == digest);
  }
  SUBCASE("host, caller, target, method and body do")
  {
    auto other = headers;
    other[0].mValue = "i";
    CHECK(DigestOf(http, other, names) != digest);
    other = headers;
    other[2].mValue = "billing";
    CHECK(DigestOf(http, other, names) != digest);
    for (const auto member :
         { &HttpRequestData::mMethod, &HttpRequestData::mTarget }) {
      auto changed = http;
      (changed.*member) += "x";
      CHECK(DigestOf(changed, headers, names) != digest);
    }
    auto changed = http;
    changed.mBody = http.mBody.ToString() + "x";
    CHECK(DigestOf(changed, headers, names) != digest);
  }
}
