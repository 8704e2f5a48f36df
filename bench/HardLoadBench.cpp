// The load of docs/design/hard-load.md with and without the rules for long
// requests: HardLoadBench [SEEDS]. Prints CSV.
#include "sim/HardLoadFleet.h"

#include <iostream>
#include <string>

using namespace porttiller::bench;

int
main(int aCount, char** aArguments)
{
  constexpr int kSeeds = 10;
  const int seeds = aCount > 1 ? std::stoi(aArguments[1]) : kSeeds;
  std::cout << "rules,seed,requests,served_share,unrepeatable,lost,retries,"
               "retries_allowed,alarms,false_alarms\n";
  for (const bool rules : { false, true }) {
    for (int seed = 1; seed <= seeds; ++seed) {
      const auto outcome =
        HardLoadFleet(
          { .mLongRules = rules, .mSeed = static_cast<std::uint64_t>(seed) })
          .Run();
      std::cout << (rules ? "long" : "usual") << ',' << seed << ','
                << outcome.mRequests << ',' << outcome.ServedShare() << ','
                << outcome.mUnrepeatable << ',' << outcome.mLost << ','
                << outcome.mRetries << ',' << outcome.mRetriesAllowed << ','
                << outcome.mAlarms << ',' << outcome.mFalseAlarms << '\n';
    }
  }
  return 0;
}
