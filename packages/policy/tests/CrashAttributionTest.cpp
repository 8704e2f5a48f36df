#include "porttiller/policy/CrashAttribution.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr TimePoint kStart{ Millis(1000) };
constexpr std::uint64_t kCrash = 7;

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
  CHECK(attribution.OnConnectionRefused(kCrash, 1, at) ==
        std::vector{ Request(3), Request(4) });
}

TEST_CASE("A crash is reported once, and later requests belong to the next one")
{
  CrashAttribution attribution;
  attribution.OnStarted(Attempt(1), Request(1));
  attribution.OnStarted(Attempt(2), Request(1, true));
  CHECK(attribution.OnConnectionRefused(kCrash, 1, kStart) ==
        std::vector{ Request(1, true) });
  attribution.OnBroken(Attempt(1), kStart);
  attribution.OnStarted(Attempt(3), Request(3));
  attribution.OnAnswered(Attempt(3));
  CHECK(attribution.OnConnectionRefused(kCrash, 1, kStart).empty());
  attribution.OnStarted(Attempt(4), Request(1));
  CHECK(attribution.OnConnectionRefused(kCrash, 2, kStart) ==
        std::vector{ Request(1) });
}

TEST_CASE("A broken connection to a server that accepts new ones is no crash")
{
  CrashAttribution attribution;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    attribution.OnStarted(Attempt(i), Request(i));
    attribution.OnBroken(Attempt(i), kStart + Millis(100 * i));
  }
  CHECK(attribution.OnConnectionRefused(kCrash, 1, kStart + Millis(20'000))
          .empty());
}

TEST_CASE("Each attempt at a crash learns of it, also one that ends later")
{
  CrashAttribution attribution;
  attribution.OnStarted(Attempt(1), Request(1));
  attribution.OnStarted(Attempt(2), Request(2, true));
  attribution.OnBroken(Attempt(1), kStart);
  CHECK(attribution.OnConnectionRefused(kCrash, 1, kStart).size() == 2);
  attribution.OnBroken(Attempt(2), kStart + Millis(1));
  CHECK(
    attribution.OnConnectionRefused(kCrash + 1, 1, kStart + Millis(1)).empty());
  CHECK(attribution.TakeBlame(Attempt(1)) == CrashBlame{ kCrash, false });
  CHECK(attribution.TakeBlame(Attempt(2)) == CrashBlame{ kCrash, true });
  CHECK(!attribution.TakeBlame(Attempt(2)));
  CHECK(!attribution.TakeBlame(Attempt(3)));
}

TEST_CASE("A request sent to a server that has crashed ran at no second crash")
{
  CrashAttribution attribution;
  attribution.OnStarted(Attempt(1), Request(1));
  CHECK(attribution.OnConnectionRefused(kCrash, 5, kStart).size() == 1);
  attribution.OnStarted(Attempt(2), Request(2, true));
  attribution.OnBroken(Attempt(2), kStart);
  CHECK(attribution.OnConnectionRefused(kCrash + 1, 5, kStart).empty());
  CHECK(!attribution.TakeBlame(Attempt(2)));
  attribution.OnStarted(Attempt(3), Request(3));
  CHECK(attribution.OnConnectionRefused(kCrash + 2, 6, kStart).size() == 1);
}
