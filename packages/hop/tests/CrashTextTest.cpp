#include "porttiller/hop/CrashText.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("Crashes of a request survive their text form")
{
  const TimePoint now{ Millis(50'000) };
  const std::vector<CrashEvent> events = {
    { .mId = 1, .mAt = now },
    { .mId = ~0ULL, .mAt = now - Millis(1234), .mAfterCrash = true },
    { .mId = 3, .mAt = now - Millis(9), .mAfterCrash = true, .mCleared = true }
  };
  CHECK(DecodeCrashes(EncodeCrashes(events, now), now) == events);
  CHECK(DecodeCrashes("", now).empty());
}

TEST_CASE("Malformed crashes are skipped")
{
  const TimePoint now{ Millis(50'000) };
  const auto events =
    DecodeCrashes("x:1:,1:2,1:-2:,:5:,5:99999999999999:,6:7:a", now);
  CHECK(events ==
        std::vector<CrashEvent>{
          { .mId = 6, .mAt = now - Millis(7), .mAfterCrash = true } });
  std::string many;
  for (int i = 0; i < 100; ++i) {
    many += "a:1:,";
  }
  CHECK(DecodeCrashes(many, now).size() == kMaxDecodedCrashes);
}
