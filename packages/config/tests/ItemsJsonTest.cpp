#include "porttiller/config/ItemsJson.h"

#include "Mutate.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace porttiller;

namespace {

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

} // namespace

TEST_CASE("A value that is nested too deeply is replaced whole")
{
  const auto deepest = Nested(kMaxItemDepth);
  const auto tooDeep = Nested(kMaxItemDepth + 1);
  const std::string unreadable = "[null]";
  const auto object = [](const std::string& aSpec) {
    return R"({"name":"[\"{","spec":)" + aSpec + R"(,"z":[1]})";
  };
  CHECK(ReplaceDeepValues(object(deepest), 1) == object(deepest));
  CHECK(ReplaceDeepValues(object(tooDeep), 1) == object(unreadable));
  const auto list = [&](const std::string& aSpec) {
    return R"({"items":[)" + object("{}") + "," + object(aSpec) + "," +
           object(R"({"a":[]})") + "]}";
  };
  CHECK(ReplaceDeepValues(list(deepest), 3) == list(deepest));
  CHECK(ReplaceDeepValues(list(tooDeep), 3) == list(unreadable));
  CHECK(ReplaceDeepValues(list(Nested(1'000'000)), 3) == list(unreadable));
}

TEST_CASE("Text with items of any depth can be parsed, or is no JSON at all")
{
  CHECK(rc::check([] {
    const auto depth = static_cast<std::size_t>(Draw(1, 200));
    const auto level = static_cast<std::size_t>(Draw(1, 5));
    const auto text = R"({"a":[{"b":)" + Nested(depth) + R"(,"c":"]"}]})";
    RC_ASSERT(ParseJsonObject(ReplaceDeepValues(text, level)).has_value());
    // Text that is no JSON must not throw either.
    ParseJsonObject(ReplaceDeepValues(Mutated(text), level));
  }));
}
