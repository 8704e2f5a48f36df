#include "porttiller/policy/CrashAttribution.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr TimePoint kStart{ Millis(1000) };

AttemptId
Attempt(std::uint64_t aNumber)
{
  return { BoxName("a"), Incarnation(1), aNumber };
}

CrashSuspect
Request(std::uint64_t aNumber, bool aAfterCrash = false)
{
  return { RequestDigest(0, aNumber), aAfterCrash };
}

} // namespace

TEST_CASE("Requests that run or have just broken off are suspects of a crash")
{
  CrashAttribution attribution;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    attribution.OnStarted(Attempt(i), Request(i));
  }
  attribution.OnAnswered(Attempt(1));
  attribution.OnBroken(Attempt(2), kStart);
  attribution.OnBroken(Attempt(3), kStart + CrashAttribution::kCrashSpan);
  const auto at = kStart + CrashAttribution::kCrashSpan + Millis(1);
  CHECK(attribution.OnConnectionRefused(at) ==
        std::vector{ Request(3), Request(4) });
}

TEST_CASE("A crash is reported once, and later requests belong to the next one")
{
  CrashAttribution attribution;
  attribution.OnStarted(Attempt(1), Request(1));
  attribution.OnStarted(Attempt(2), Request(1, true));
  CHECK(attribution.OnConnectionRefused(kStart) ==
        std::vector{ Request(1, true) });
  attribution.OnBroken(Attempt(1), kStart);
  attribution.OnStarted(Attempt(3), Request(3));
  attribution.OnAnswered(Attempt(3));
  CHECK(attribution.OnConnectionRefused(kStart).empty());
  attribution.OnStarted(Attempt(4), Request(1));
  CHECK(attribution.OnConnectionRefused(kStart) == std::vector{ Request(1) });
}

TEST_CASE("A broken connection to a server that accepts new ones is no crash")
{
  CrashAttribution attribution;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    attribution.OnStarted(Attempt(i), Request(i));
    attribution.OnBroken(Attempt(i), kStart + Millis(100 * i));
  }
  CHECK(attribution.OnConnectionRefused(kStart + Millis(20'000)).empty());
}
