// Objects of other writers in lists and watches of the native dialect.
#include "porttiller/store/NativeDialect.h"
#include "porttiller/config/Resources.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace porttiller;

namespace {

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string
Item(const std::string& aName,
     const std::string& aSpec = R"({"floor_slots":3})")
{
  return R"({"kind":"Service","name":")" + aName + R"(","version":5,"spec":)" +
         aSpec + "}";
}

std::string
List(const std::vector<std::string>& aItems)
{
  std::string items;
  for (const auto& item : aItems) {
    items += (items.empty() ? "" : ",") + item;
  }
  return R"({"revision":12,"items":[)" + items + "]}";
}

// Without a readable kind, name or version.
std::vector<std::string>
BadItems()
{
  return { "null",
           "7",
           "[]",
           "{}",
           R"("text")",
           Nested(70),
           Nested(100'000),
           R"({"kind":)" + Nested(70) + R"(,"name":"b","version":5,"spec":{}})",
           R"({"kind":"Service","version":5,"spec":{}})",
           R"({"kind":"Service","name":7,"version":5,"spec":{}})",
           R"({"kind":7,"name":"b","version":5,"spec":{}})",
           R"({"kind":"Service","name":1e999,"version":5,"spec":{}})",
           R"({"kind":"Service","name":"b","version":-5,"spec":{}})",
           R"({"kind":"Service","name":"b","version":"5","spec":{}})",
           R"({"kind":"Service","name":"b","version":1.5,"spec":{}})",
           R"({"kind":"Service","name":"b","version":1e999,"spec":{}})",
           R"({"kind":"Service","name":"b","version":18446744073709551616})" };
}

// Of a service, none of them valid.
std::vector<std::string>
BadSpecs()
{
  return { "null",
           "7",
           R"("text")",
           Nested(3),
           Nested(70),
           "99999999999999999999",
           R"({"floor_slots":99999999999999999999})",
           R"({"floor_slots":9223372036854775808})",
           R"({"floor_slots":1e999})",
           R"({"floor_slots":)" + Nested(70) + "}",
           R"({"floor_slots":3,"odd":)" + Nested(100'000) + "}" };
}

} // namespace

TEST_CASE("A list and a watch keep their valid objects beside any other")
{
  for (const auto& bad : BadItems()) {
    CAPTURE(bad.substr(0, 100));
    const auto text = List({ Item("a"), bad, Item("c") });
    const auto list = NativeDialect::ReadConfiguration(text);
    REQUIRE(list);
    CHECK(list->mTo == 12);
    REQUIRE(list->mObjects.size() == 2);
    CHECK(list->mObjects[0].mKey.mName == "a");
    CHECK(list->mObjects[1].mKey.mName == "c");
    CHECK(list->mUnreadable.size() == 1);
    const auto changes = NativeDialect::ReadChanges("Service", 4, text);
    REQUIRE(changes);
    CHECK(changes->mObjects.size() == 2);
    CHECK(changes->mUnreadable.size() == 1);
  }
}

TEST_CASE("An object with an invalid spec keeps its place and is rejected")
{
  for (const auto& spec : BadSpecs()) {
    CAPTURE(spec.substr(0, 100));
    const auto list = NativeDialect::ReadConfiguration(
      List({ Item("a"), Item("b", spec), Item("c") }));
    REQUIRE(list);
    REQUIRE(list->mObjects.size() == 3);
    CHECK(list->mObjects[1].mKey.mName == "b");
    CHECK_FALSE(ParseResource(kServiceKind, "b", list->mObjects[1].mSpecJson)
                  .has_value());
    CHECK(ParseResource(kServiceKind, "c", list->mObjects[2].mSpecJson)
            .has_value());
  }
}

TEST_CASE("Invalid UTF-8 in one object does not affect the others")
{
  for (const std::string bytes : { "\xff\xfe", "\xc3\x28", "\xed\xa0\x80" }) {
    const auto list = NativeDialect::ReadConfiguration(
      List({ Item("a"), Item("b", R"({"odd":")" + bytes + "\"}") }));
    REQUIRE(list);
    CHECK(list->mObjects.size() == 2);
  }
}

TEST_CASE("An answer that is no list is an error")
{
  for (const std::string text : { "",
                                  "7",
                                  "[]",
                                  "{}",
                                  R"({"revision":12})",
                                  R"({"items":[]})",
                                  R"({"revision":-1,"items":[]})",
                                  R"({"revision":12,"items":7})" }) {
    CAPTURE(text);
    CHECK_FALSE(NativeDialect::ReadConfiguration(text));
  }
}

// A value that cannot be parsed reads as no value of another type.
TEST_CASE("A number out of range makes its object invalid in any field")
{
  const auto isValid = [](const char* aKind, const std::string& aSpec) {
    const auto list = NativeDialect::ReadConfiguration(
      List({ R"({"kind":")" + std::string(aKind) +
             R"(","name":"b","version":5,"spec":)" + aSpec + "}" }));
    REQUIRE(list);
    REQUIRE(list->mObjects.size() == 1);
    return ParseResource(aKind, "b", list->mObjects[0].mSpecJson).has_value();
  };
  const std::string route = R"({"path_prefix":"/a","service":"s")";
  CHECK(isValid(kRouteKind, route + "}"));
  for (const char* field : { "methods",
                             "host",
                             "priority",
                             "timeout_ms",
                             "max_attempts",
                             "repeatable",
                             "public" }) {
    CAPTURE(std::string(field));
    CHECK_FALSE(
      isValid(kRouteKind, route + ",\"" + field + "\":99999999999999999999}"));
  }
  CHECK_FALSE(isValid(kRouteKind, R"({"path_prefix":"/a","split":1e999})"));
  CHECK(isValid(kWorkspaceKind, R"({"keys":["k"]})"));
  CHECK_FALSE(isValid(kWorkspaceKind, R"({"keys":1e999})"));
  CHECK_FALSE(isValid(kWorkspaceKind, R"({"keys":["k"],"rate_per_s":1e999})"));
}
