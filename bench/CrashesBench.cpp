// Compares what boxes tell each other about requests that crash servers, by
// servers lost, time until all boxes know, and bytes.
#include "Figure.h"
#include "sim/CrashFleet.h"

#include <iostream>
#include <string>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

constexpr int kSeeds = 5;

const char*
ToText(CrashScheme aScheme)
{
  switch (aScheme) {
    case CrashScheme::kNone:
      return "none";
    case CrashScheme::kAlone:
      return "alone";
    case CrashScheme::kJoined:
      break;
  }
  return "joined";
}

// Prints the worst values over the seeds.
void
Measure(const std::string& aScenario, CrashFleetOptions aOptions)
{
  CrashOutcome worst;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    const auto outcome = CrashFleet(aOptions).Run();
    worst.mMostLostToOne =
      std::max(worst.mMostLostToOne, outcome.mMostLostToOne);
    worst.mMostLate = std::max(worst.mMostLate, outcome.mMostLate);
    worst.mAllKnowS = std::max(worst.mAllKnowS, outcome.mAllKnowS);
    worst.mBytesPerBoxSecond =
      std::max(worst.mBytesPerBoxSecond, outcome.mBytesPerBoxSecond);
    worst.mBytesOfBusiest =
      std::max(worst.mBytesOfBusiest, outcome.mBytesOfBusiest);
    worst.mMostRecords = std::max(worst.mMostRecords, outcome.mMostRecords);
    worst.mPopularRejectedShare =
      std::max(worst.mPopularRejectedShare, outcome.mPopularRejectedShare);
  }
  const FigurePrinter print(aScenario, ToText(aOptions.mScheme));
  print("servers lost to one request", worst.mMostLostToOne, "servers");
  print("late arrivals of one request", worst.mMostLate, "arrivals");
  print("until all boxes reject", worst.mAllKnowS, "s");
  print("sent by a box, mean", worst.mBytesPerBoxSecond, "B/s");
  print("sent by the busiest box", worst.mBytesOfBusiest, "B/s");
  print("records at a box", static_cast<double>(worst.mMostRecords), "records");
  print("popular request rejected", worst.mPopularRejectedShare, "share");
}

} // namespace

int
main()
{
  for (const auto scheme :
       { CrashScheme::kNone, CrashScheme::kAlone, CrashScheme::kJoined }) {
    Measure("93 boxes, 1 request", { .mScheme = scheme });
  }
  for (const int forRetry : { 1, 3 }) {
    Measure("93 boxes, 1 request, no retry from crash " +
              std::to_string(forRetry),
            { .mMaxCrashesForRetry = forRetry });
  }
  Measure("93 boxes, 8 requests", { .mCrashing = 8 });
  Measure("93 boxes, 1 request, a third restarted", { .mRestartEvery = 3 });
  Measure("93 boxes, 1 request, 20% loss", { .mLoss = 0.2 });
  Measure("353 boxes, 8 requests",
          { .mBoxes = 353, .mZones = 5, .mCrashing = 8 });
  Measure("1300 boxes, 8 requests",
          { .mBoxes = 1300, .mZones = 27, .mCrashing = 8 });
  return 0;
}
