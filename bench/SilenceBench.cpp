// How late a change is in force on the last box after open connections have
// gone silent at one moment: SilenceBench [quick]
#include "Figure.h"
#include "fleet/Fleet.h"

#include <algorithm>
#include <functional>
#include <thread>

namespace {

using namespace porttiller;
using namespace porttiller::bench;

constexpr int kBoxes = 6;
constexpr int kZones = 3;
constexpr int kPortBase = 24600;
constexpr int kQuickRounds = 3;
constexpr int kFullRounds = 16;
constexpr int kDelays = 8; // a change comes this many ways after the silence
constexpr Millis kDelayStep{ 200 };
constexpr Millis kRest{ 2500 };
constexpr Millis kPatience{ 20'000 };
constexpr Millis kPoll{ 5 };
// The users' bounds: a change is in force this long after its write, and boxes
// count this long after their connections were hit.
constexpr Millis kApply{ 2000 };
constexpr Millis kContact{ 3000 };
constexpr const char* kSettings = R"(, "timing": { "apply_ms": 2000 })";

struct Round
{
  Millis mLast{ 0 }; // from the write until the last box has it
  Millis mLate{ 0 }; // beyond both bounds
};

Millis
Since(TimePoint aBegin)
{
  return std::chrono::duration_cast<Millis>(Now() - aBegin);
}

Round
PlayRound(fleet::Fleet& aFleet,
          const std::function<void()>& aSilence,
          Millis aDelay,
          int aNumber)
{
  const auto silent = Now();
  aSilence();
  std::this_thread::sleep_for(aDelay);
  const auto written = Now();
  const auto revision =
    aFleet.Platform().Put({ "Service", "ledger" },
                          R"({"floor_slots":)" + std::to_string(aNumber) + "}");
  for (int box = 0; box < kBoxes; ++box) {
    while (aFleet.Revision(box) < revision && Since(written) < kPatience) {
      std::this_thread::sleep_for(kPoll);
    }
  }
  const auto bound = std::max(written + kApply, silent + kContact);
  return { .mLast = Since(written),
           .mLate = std::max(Millis(0), Since(bound)) };
}

void
Measure(const std::string& aScenario, int aRounds, bool aPlatform, bool aBoxes)
{
  fleet::Fleet fleet({ .mBoxes = kBoxes,
                       .mZones = kZones,
                       .mPortBase = kPortBase,
                       .mLinks = true,
                       .mExtraSettings = kSettings });
  const auto silence = [&] {
    if (aPlatform) {
      fleet.SilencePlatformLinks();
    }
    if (aBoxes) {
      fleet.SilenceBoxLinks();
    }
  };
  std::vector<double> last;
  double late = 0.0;
  for (int i = 0; i < aRounds; ++i) {
    // Rests of other lengths, so that watches stand at other points.
    std::this_thread::sleep_for(kRest + kDelayStep * (i % 3));
    const auto round = PlayRound(fleet, silence, kDelayStep * (i % kDelays), i);
    last.push_back(static_cast<double>(round.mLast.count()));
    late += round.mLate > Millis(0) ? 1.0 : 0.0;
  }
  const std::string policy = "rounds " + std::to_string(aRounds);
  Print({ "change in force on the last box, median",
          aScenario,
          policy,
          Quantile(last, 0.5),
          "ms" });
  Print({ "change in force on the last box, most",
          aScenario,
          policy,
          Quantile(last, 1.0),
          "ms" });
  Print({ "rounds beyond the bounds", aScenario, policy, late, "rounds" });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool quick = aCount > 1 && std::string(aArguments[1]) == "quick";
  const int rounds = quick ? kQuickRounds : kFullRounds;
  Measure("nothing silent", rounds, false, false);
  Measure("platform silent", rounds, true, false);
  Measure("links between boxes silent", rounds, false, true);
  Measure("all silent", rounds, true, true);
  return 0;
}
