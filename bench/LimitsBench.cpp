// Compares schemes that enforce workspace rate limits over a fleet, on the same
// random load: worst window, requests rejected below the limit, messages.
#include "Figure.h"
#include "sim/LimitFleet.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

const char*
ToText(LimitScheme aScheme)
{
  switch (aScheme) {
    case LimitScheme::kCollected:
      return "collected";
    case LimitScheme::kFixedShares:
      return "parts";
    case LimitScheme::kCentral:
      break;
  }
  return "asked";
}

// Sums over the seeds; the worst windows and the busiest box are maxima.
struct Sums
{
  // Highest use of any window, as a share of what the limit allows: of all
  // workspaces, and of those that stay at their usual rate.
  double mWorstWindow = 0.0;
  double mWorstUsual = 0.0;
  double mOffered = 0.0;
  double mRejectedBelowLimit = 0.0;
  double mRejectedUsual = 0.0;
  double mMessages = 0.0; // a second, per box
  double mBusiest = 0.0;  // messages a second of the busiest box
  double mItems = 0.0;    // a second, per box
};

void
Add(const LimitOutcome& aOutcome,
    const std::vector<SimWorkspace>& aWorkspaces,
    Sums& aSums)
{
  for (std::size_t i = 0; i < aWorkspaces.size(); ++i) {
    const auto& outcome = aOutcome.mWorkspaces[i];
    aSums.mOffered += outcome.mOffered;
    aSums.mRejectedBelowLimit += outcome.mRejectedBelowLimit;
    aSums.mWorstWindow = std::max(aSums.mWorstWindow, outcome.mWorstWindow);
    if (aWorkspaces[i].mHotFactor == 1.0) {
      aSums.mRejectedUsual += outcome.mRejectedBelowLimit;
      aSums.mWorstUsual = std::max(aSums.mWorstUsual, outcome.mWorstWindow);
    }
  }
  aSums.mMessages += aOutcome.mMessagesPerBoxSecond;
  aSums.mItems += aOutcome.mItemsPerBoxSecond;
  aSums.mBusiest = std::max(aSums.mBusiest, aOutcome.mMessagesOfBusiest);
}

struct LimitScenario
{
  const char* mName;
  int mCutEvery;  // cut every nth box; 0: none
  int mKillEvery; // kill every nth box; 0: none
};

void
Measure(int aBoxes,
        LimitScheme aScheme,
        const LimitScenario& aScenario,
        int aSeeds)
{
  Sums sums;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    auto workspaces =
      DrawWorkspaces(81, 11.8 * aBoxes, 1.6, static_cast<std::uint64_t>(seed));
    workspaces[0].mHotFactor = 3.0;
    workspaces[7].mHotFactor = 4.8;
    workspaces[30].mHotFactor = 7.5;
    LimitFleet fleet({ .mBoxes = aBoxes,
                       .mZones = aBoxes > 1000  ? 27
                                 : aBoxes > 300 ? 5
                                                : 3,
                       .mWorkspaces = workspaces,
                       .mScheme = aScheme,
                       .mSeed = static_cast<std::uint64_t>(seed) });
    for (int box = 0; box < aBoxes; ++box) {
      if (aScenario.mCutEvery > 0 && box % aScenario.mCutEvery == 0) {
        fleet.Cut(box, Micros(9'000'000), Micros(15'000'000));
      }
      if (aScenario.mKillEvery > 0 && box % aScenario.mKillEvery == 0) {
        fleet.Kill(box, Micros(12'000'000), Micros(1'000'000));
      }
    }
    Add(fleet.Run(), workspaces, sums);
  }
  const FigurePrinter print(std::string(aScenario.mName) + "/" +
                              std::to_string(aBoxes),
                            ToText(aScheme));
  constexpr double kPermille = 1000.0;
  print("worst_window", sums.mWorstWindow, "of the bound");
  print("worst_window_usual", sums.mWorstUsual, "of the bound");
  print("refused_below",
        kPermille * sums.mRejectedBelowLimit / sums.mOffered,
        "permille");
  print("refused_usual",
        kPermille * sums.mRejectedUsual / sums.mOffered,
        "permille");
  print("messages", sums.mMessages / aSeeds, "per box and s");
  print("messages_busiest", sums.mBusiest, "per s");
  print("items", sums.mItems / aSeeds, "per box and s");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("LimitsBench", "Ways to keep workspaces' limits");
  options.add_options()(
    "seeds", "draws of load", cxxopts::value<int>()->default_value("10"))(
    "boxes",
    "sizes of the fleet",
    cxxopts::value<std::vector<int>>()->default_value("93"))("help",
                                                             "shows this");
  const auto arguments = options.parse(aCount, aArguments);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const LimitScenario scenarios[] = { { "calm", 0, 0 },
                                      { "third-cut", 3, 0 },
                                      { "tenth-killed", 0, 10 },
                                      { "all-killed", 0, 1 } };
  for (const int boxes : arguments["boxes"].as<std::vector<int>>()) {
    for (const auto& scenario : scenarios) {
      for (const auto scheme : { LimitScheme::kCollected,
                                 LimitScheme::kFixedShares,
                                 LimitScheme::kCentral }) {
        Measure(boxes, scheme, scenario, arguments["seeds"].as<int>());
      }
    }
  }
  return 0;
}
