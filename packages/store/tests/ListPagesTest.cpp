// Lists of the store that come in several pages.
#include "porttiller/store/ObjectClient.h"

#include "standin/HttpStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("A list of several pages goes on where its first page was read")
{
  int pages = 0;
  standin::HttpStandIn store("127.0.0.1:0", [&](auto&, auto& aResponse) {
    standin::SendText(
      aResponse,
      200,
      ++pages == 1
        ? R"({"items":[{"Metadata":{"Name":"a","Rev":10},"Spec":{}}],)"
          R"("MorePages":true,"StoreRevision":10})"
        : R"({"items":[{"Metadata":{"Name":"b","Rev":9},"Spec":{}}],)"
          R"("MorePages":false,"StoreRevision":12})");
  });
  ObjectClient client({ .mAddress = store.Address(),
                        .mDialect = platform::ObjectStoreDialect() });
  const auto list = client.List("box-records");
  REQUIRE(list.has_value());
  CHECK(list->mObjects.size() == 2);
  CHECK(list->mCursor == 10);
}
