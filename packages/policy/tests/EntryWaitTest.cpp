#include "porttiller/policy/EntryWait.h"

#include <doctest/doctest.h>
#include <vector>

using namespace porttiller;

namespace {

const TimePoint kArrival{ Millis(100'000) };
constexpr Millis kFar{ 60'000 };

// The waits of a request whose rounds take aRound each.
std::vector<Millis>
WaitsOf(Millis aTarget, Millis aTimeLimit, Millis aRound)
{
  EntryWait wait(kArrival, aTarget, kArrival + aTimeLimit);
  std::vector<Millis> waits;
  auto now = kArrival + aRound;
  while (const auto until = wait.Next(now)) {
    waits.push_back(std::chrono::duration_cast<Millis>(*until - now));
    now = *until + aRound;
  }
  return waits;
}

} // namespace

TEST_CASE("Waits at the entry double up to 400 ms within a tenth of the target")
{
  using Waits = std::vector<Millis>;
  const Millis none{ 0 };
  CHECK(WaitsOf(Millis(8000), kFar, none) ==
        Waits{ Millis(100), Millis(200), Millis(400), Millis(100) });
  CHECK(WaitsOf(Millis(20'000), kFar, none) == Waits{ Millis(100),
                                                      Millis(200),
                                                      Millis(400),
                                                      Millis(400),
                                                      Millis(400),
                                                      Millis(400),
                                                      Millis(100) });
  // The time of the rounds counts, too.
  CHECK(WaitsOf(Millis(2000), kFar, Millis(30)) ==
        Waits{ Millis(100), Millis(40) });
}

TEST_CASE("A request does not wait when too little of its time is left")
{
  // A wait that is shorter than a hop only costs another round.
  CHECK(WaitsOf(Millis(500), kFar, Millis(48)).empty());
  CHECK(WaitsOf(Millis(500), kFar, Millis(200)).empty());
  // The deadline ends a wait, too.
  CHECK(WaitsOf(Millis(8000), Millis(120), Millis(0)) ==
        std::vector{ Millis(100), Millis(20) });
}
