#include "porttiller/config/Settings.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr const char* kMinimal = R"({
  // line comments with a "quote are allowed
  /* and block comments */ "box": "box-a", "zone": "kaduna//1", "platform_address": "127.0.0.1:7000"
})";

} // namespace

TEST_CASE("ParseSettings fills defaults and survives its own print")
{
  const auto settings = ParseSettings(kMinimal);
  REQUIRE(settings.has_value());
  CHECK(settings->mZone.Value() == "kaduna//1");
  const auto again = ParseSettings(ToJsonText(*settings));
  REQUIRE(again.has_value());
  CHECK(ToJsonText(*again) == ToJsonText(*settings));
}

TEST_CASE("ParseSettings lists every error with its path")
{
  const auto settings = ParseSettings(R"({
    "box": 3, "zone": "z", "colour": "red",
    "callers": { "threads": 1, "adress": "x" },
    "peers": { "home_address": "nowhere" },
    "timing": { "drain_ms": "soon" }, "log_level": "loud" })");
  REQUIRE_FALSE(settings.has_value());
  std::vector<std::string> paths;
  for (const auto& error : settings.error()) {
    paths.push_back(error.mPath);
  }
  CHECK(paths == std::vector<std::string>{ "box",
                                           "callers.threads",
                                           "callers.adress",
                                           "peers.home_address",
                                           "timing.drain_ms",
                                           "platform_address",
                                           "log_level",
                                           "colour" });
}

TEST_CASE("ParseSettings refuses what is no JSON object")
{
  for (const char* text : { "", "[]", "{", "{ \"box\": }" }) {
    CHECK_FALSE(ParseSettings(text).has_value());
  }
}
