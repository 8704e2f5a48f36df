#include "porttiller/home/ServerThrottle.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(1'000'000) };
constexpr std::size_t kSenders = 6;

TimePoint
At(int aMillis)
{
  return kStart + Millis(aMillis);
}

ServerThrottle
MakeThrottle()
{
  return ServerThrottle(ServerIncarnation(BackendServerName("s")));
}

ServerSignals
Limit(double aRate)
{
  return { .mLimit = aRate };
}

// Requests that start in a flood of one a millisecond. Each is answered at once
// with aSignals.
int
Flood(ServerThrottle& aThrottle,
      int aFromMs,
      int aToMs,
      const ServerSignals& aSignals)
{
  int started = 0;
  for (int ms = aFromMs; ms < aToMs; ++ms) {
    if (aThrottle.Reserve(Micros(0), At(ms))) {
      ++started;
      aThrottle.OnAnswer(aSignals, "r", kSenders, At(ms), At(ms));
    }
  }
  return started;
}

} // namespace

TEST_CASE("Requests pass freely until an answer names a limit")
{
  auto throttle = MakeThrottle();
  CHECK(Flood(throttle, 0, 100, {}) == 100);
  CHECK(throttle.OnAnswer(Limit(3), "r", kSenders, At(99), At(100)));
  CHECK(Flood(throttle, 100, 10'100, Limit(3)) >= 29);
  CHECK(Flood(throttle, 10'100, 20'100, Limit(3)) <= 31);
  CHECK(throttle.Demand().mLimit->mRate == 3.0);
}

TEST_CASE("An unreadable limit neither lifts nor sets one")
{
  auto throttle = MakeThrottle();
  const ServerSignals unreadable{ .mUnreadableLimit = true };
  throttle.OnAnswer(unreadable, "r", kSenders, At(0), At(1));
  CHECK_FALSE(throttle.Limit());
  throttle.OnAnswer(Limit(1), "r", kSenders, At(2), At(3));
  for (int i = 0; i < 10; ++i) {
    throttle.OnAnswer(unreadable, "r", kSenders, At(10 + i), At(11 + i));
  }
  CHECK(throttle.Limit() == 1.0);
}

TEST_CASE("A server that names 0 is asked again and returns when it ends")
{
  auto throttle = MakeThrottle();
  throttle.OnAnswer(Limit(0), "r", kSenders, At(0), At(1));
  const int asked = Flood(throttle, 1, 60'000, Limit(0));
  CHECK(asked >= 11);
  CHECK(asked <= 14);
  Flood(throttle, 60'000, 66'000, {});
  CHECK_FALSE(throttle.Limit());
}

TEST_CASE("A limit ends soon after answers stop to name it")
{
  auto throttle = MakeThrottle();
  throttle.OnAnswer(Limit(1), "r", kSenders, At(0), At(1));
  Flood(throttle, 1, 5000, Limit(1));
  Flood(throttle, 5000, 6500, {});
  CHECK_FALSE(throttle.Limit());
}

TEST_CASE("A limit that entries report begins with an empty bucket")
{
  auto throttle = MakeThrottle();
  const LimitNote note{ .mRate = 1.0, .mAge = Millis(300) };
  CHECK(throttle.OnReport(note, kSenders, At(0)));
  CHECK_FALSE(throttle.OnReport(note, kSenders, At(0)));
  CHECK_FALSE(throttle.Reserve(Micros(0), At(900)));
  CHECK(throttle.Reserve(Micros(0), At(1100)));
}

TEST_CASE("Leaving is final until the process has ended")
{
  auto throttle = MakeThrottle();
  CHECK(throttle.OnAnswer({ .mLeaving = true }, "r", kSenders, At(0), At(1)));
  throttle.OnAnswer({}, "r", kSenders, At(2), At(3));
  CHECK(throttle.IsLeaving());
  CHECK(throttle.Demand().mLeaving);
  throttle.OnEnded();
  CHECK_FALSE(throttle.IsLeaving());
}

TEST_CASE("Random texts are refused or read as a finite rate that is not "
          "negative")
{
  CHECK(rc::check([](const std::string& aText) {
    const auto rate = ParseRate(aText);
    RC_ASSERT(!rate || (*rate >= 0.0 && *rate < 1e17));
  }));
}
