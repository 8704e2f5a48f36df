// Time until a change is in force on the last box after all open connections
// have silently stopped to carry data at the same moment: SilenceBench [quick]
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
constexpr int kDelays = 8; // delays between the silence and the change
constexpr Millis kDelayStep{ 200 };
constexpr Millis kRoundPause{ 2500 };
constexpr Millis kMaxWait{ 20'000 };
constexpr Millis kPoll{ 5 };
// The required bounds: a change is in force everywhere kApplyBound after its
// write, or kContactBound after the connections went silent if that is later.
constexpr Millis kApplyBound{ 2000 };
constexpr Millis kContactBound{ 3000 };
constexpr const char* kSettings = R"(, "timing": { "apply_ms": 2000 })";

struct Round
{
  Millis mLast{ 0 }; // from the write until it is in force on the last box
  Millis mLate{ 0 }; // time beyond the later of both bounds
};

Millis
Since(TimePoint aBegin)
{
  return std::chrono::duration_cast<Millis>(Now() - aBegin);
}

Round
RunRound(fleet::Fleet& aFleet,
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
    while (aFleet.Revision(box) < revision && Since(written) < kMaxWait) {
      std::this_thread::sleep_for(kPoll);
    }
  }
  const auto bound = std::max(written + kApplyBound, silent + kContactBound);
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
    // Pauses of different lengths, so that the silence hits long polls at
    // different points.
    std::this_thread::sleep_for(kRoundPause + kDelayStep * (i % 3));
    const auto round = RunRound(fleet, silence, kDelayStep * (i % kDelays), i);
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
