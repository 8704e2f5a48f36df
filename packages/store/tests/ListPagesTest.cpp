// Paginated lists of the store.
#include "porttiller/store/ObjectClient.h"

#include "standin/ObjectStoreStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22952";
constexpr const char* kKind = "things";

} // namespace

TEST_CASE("A watch after a paginated list starts at the list's first page")
{
  standin::ObjectStoreStandIn store(kAddress);
  for (const char* name : { "a", "b", "c", "d" }) {
    store.Put({ kKind, name }, "{}");
  }
  std::uint64_t changed = 0;
  store.OnPage([&] {
    if (changed == 0) {
      changed = store.Put({ kKind, "a" }, R"({"is":"changed"})");
    }
  });
  ObjectClient client(
    { .mAddress = kAddress, .mDialect = platform::ObjectStoreDialect() });
  const auto list = client.List(kKind);
  REQUIRE(list.has_value());
  CHECK(list->mObjects.size() == 4);
  CHECK(list->mCursor < changed);
  const auto changes = client.Watch(kKind, list->mCursor, Millis(100));
  REQUIRE(changes.has_value());
  REQUIRE(changes->mObjects.size() == 1);
  CHECK(changes->mObjects.front().mVersion == changed);
}
