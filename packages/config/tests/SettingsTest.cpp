#include "porttiller/config/Settings.h"

#include <doctest/doctest.h>
#include <map>

using namespace porttiller;

namespace {

constexpr const char* kMinimal = R"({
  // line comments with a "quote are allowed
  /* and block comments */ "box": "box-a", "zone": "kaduna//1", "platform_address": "127.0.0.1:7000"
})";

} // namespace

TEST_CASE("ParseSettings applies defaults and reads back printed settings")
{
  const auto settings = ParseSettings(kMinimal);
  REQUIRE(settings.has_value());
  CHECK(settings->mZone.Value() == "kaduna//1");
  const auto again = ParseSettings(ToJsonText(*settings));
  REQUIRE(again.has_value());
  CHECK(ToJsonText(*again) == ToJsonText(*settings));
}

TEST_CASE("ParseSettings reports every error with its path")
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

TEST_CASE("ParseSettings rejects text that is not a JSON object")
{
  for (const char* text : { "", "[]", "{", "{ \"box\": }" }) {
    CHECK_FALSE(ParseSettings(text).has_value());
  }
}

TEST_CASE("Numbers from the platform may be fractional, zero, huge or null")
{
  struct Case
  {
    const char* mNumber;
    double mBurst;
  };
  for (const auto& [number, burst] : { Case{ "25.2", 25.2 },
                                       Case{ "0", 0.0 },
                                       Case{ "1e9", 1e9 },
                                       Case{ "null", 1e6 } }) {
    const std::string text =
      std::string(
        R"({ "box": "a", "zone": "z", "platform_address": "127.0.0.1:1",
      "retries": { "burst": )") +
      number + R"(, "share": )" + number + R"( }, "timing": { "grace_s": )" +
      number + R"( }, "resources": { "memory_mb": )" + number +
      R"(, "descriptors": )" + number + " } }";
    CAPTURE(text);
    const auto settings = ParseSettings(text);
    REQUIRE(settings.has_value());
    CHECK(settings->mRetries.mBurst == burst);
    CHECK(settings->mTiming.mDrain > Millis(0));
    CHECK(settings->mTiming.mDrainNotice <= settings->mTiming.mDrain / 2);
    CHECK(settings->mCallers.mThreads >= 64);
    CHECK(settings->mCallers.mThreads <= 512);
    CHECK(settings->mPeers.mConnections >= 64);
  }
}

TEST_CASE("Threads, connections and drain time are derived from the resources")
{
  const auto settings = ParseSettings(R"({
    "box": "a", "zone": "z", "platform_address": "127.0.0.1:1",
    "resources": { "memory_mb": 160, "descriptors": 4100 },
    "timing": { "grace_s": 10 } })");
  REQUIRE(settings.has_value());
  CHECK(settings->mCallers.mThreads == 320);
  CHECK(settings->mPeers.mThreads == 320);
  CHECK(settings->mPeers.mConnections == 1300);
  CHECK(settings->mTiming.mDrain == Millis(8800));
}

TEST_CASE(
  "Memory for unread answers is an eighth of the memory unless it is set")
{
  const auto unsentMb = [](const std::string& aResources) {
    const auto settings = ParseSettings(
      R"({ "box": "a", "zone": "z", "platform_address": "127.0.0.1:1",
      "resources": { )" +
      aResources + " } }");
    REQUIRE(settings.has_value());
    return settings->mResources.mUnsentMb;
  };
  CHECK(unsentMb("") == 0.0);
  CHECK(unsentMb(R"("memory_mb": null)") == 0.0);
  CHECK(unsentMb(R"("memory_mb": 160)") == 20.0);
  CHECK(unsentMb(R"("memory_mb": 160, "unsent_mb": 4.5)") == 4.5);
  CHECK(unsentMb(R"("memory_mb": 160, "unsent_mb": 0)") == 20.0);
  CHECK(unsentMb(R"("unsent_mb": 8)") == 8.0);
}

TEST_CASE("apply_ms accepts null and fractions, and is clamped to its range")
{
  const std::map<std::string, Millis> cases{
    { "null", Millis(4000) },   { "0", Millis(4000) }, { "2000", Millis(2000) },
    { "2000.5", Millis(2000) }, { "1", Millis(200) },  { "1e9", Millis(60'000) }
  };
  for (const auto& [number, time] : cases) {
    const auto settings = ParseSettings(R"({ "box": "a", "zone": "z",
        "platform_address": "127.0.0.1:7000",
        "timing": { "apply_ms": )" + number +
                                        " } }");
    REQUIRE(settings.has_value());
    CHECK(settings->mTiming.mApplyLimit == time);
  }
}

TEST_CASE("The rules for long requests apply from the set target on")
{
  const LongRequestSettings none;
  CHECK_FALSE(LongTargetOf(Millis(8000), Millis(8000), none));
  const LongRequestSettings settings{ .mMinTarget = Millis(4000) };
  CHECK_FALSE(LongTargetOf(std::nullopt, Millis(4000), settings));
  CHECK_FALSE(LongTargetOf(Millis(3999), Millis(3999), settings));
  // A shorter route of the same service shares the servers of the long one.
  CHECK(LongTargetOf(Millis(1200), Millis(4000), settings) == Millis(1200));
}
