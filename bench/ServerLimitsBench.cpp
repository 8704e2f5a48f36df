// Compares who keeps the limits that backend servers name, by requests sent
// against the limit, rejected attempts and bytes.
#include "Figure.h"
#include "sim/ServerLimitFleet.h"

#include <algorithm>
#include <string>

using namespace porttiller;
using namespace porttiller::bench;

namespace {

constexpr int kSeeds = 5;

const char*
ToText(LimitScheme aScheme)
{
  switch (aScheme) {
    case LimitScheme::kIgnored:
      return "ignored";
    case LimitScheme::kHomeAlone:
      return "home alone";
    case LimitScheme::kShared:
      break;
  }
  return "shared";
}

// Prints the worst values over the seeds, and the lowest use.
void
Measure(const std::string& aScenario, ServerLimitOptions aOptions)
{
  ServerLimitOutcome worst{ .mUsedShare = 1e9 };
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aOptions.mSeed = static_cast<std::uint64_t>(seed);
    const auto outcome = ServerLimitFleet(aOptions).Run();
    worst.mWorstOverLimit =
      std::max(worst.mWorstOverLimit, outcome.mWorstOverLimit);
    worst.mMeanOverLimit =
      std::max(worst.mMeanOverLimit, outcome.mMeanOverLimit);
    worst.mUsedShare = std::min(worst.mUsedShare, outcome.mUsedShare);
    worst.mRejectedHops = std::max(worst.mRejectedHops, outcome.mRejectedHops);
    worst.mNotServed = std::max(worst.mNotServed, outcome.mNotServed);
    worst.mBytesPerBoxSecond =
      std::max(worst.mBytesPerBoxSecond, outcome.mBytesPerBoxSecond);
  }
  const FigurePrinter print(aScenario, ToText(aOptions.mScheme));
  print("most in 4 s over the limit's, worst", worst.mWorstOverLimit, "ratio");
  print("most in 4 s over the limit's, mean", worst.mMeanOverLimit, "ratio");
  print("used of the limits", worst.mUsedShare, "share");
  print("rejected hops", worst.mRejectedHops, "per request");
  print("not served", worst.mNotServed, "share");
  print("added by a box", worst.mBytesPerBoxSecond, "B/s");
}

} // namespace

int
main()
{
  for (const int boxes : { 93, 353, 1300 }) {
    for (const auto scheme : { LimitScheme::kIgnored,
                               LimitScheme::kHomeAlone,
                               LimitScheme::kShared }) {
      Measure(std::to_string(boxes) + " boxes, a third limited",
              { .mBoxes = boxes, .mScheme = scheme });
    }
  }
  for (const auto scheme : { LimitScheme::kHomeAlone, LimitScheme::kShared }) {
    Measure("93 boxes, all limited to 0.4 of the load",
            { .mScheme = scheme,
              .mLimitedShare = 1.0,
              .mMinLimit = 4.0,
              .mMaxLimit = 4.0 });
  }
  return 0;
}
