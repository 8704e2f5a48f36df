// Runs soaks: "soak [--seed N] [--seeds N] [--seconds S] [--boxes N]
// [--port-base N]". Exits with 1 if a guarantee was violated; prints the seed,
// which reproduces the schedule, and saves the logs of the boxes.
#include "soak/Soak.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace porttiller;
using namespace porttiller::soak;

namespace {

// Limits the violations printed for each seed.
constexpr std::size_t kMaxPrintedViolations = 8;

void
PrintSchedule(const ScheduleOptions& aOptions)
{
  for (const auto& fault : MakeSchedule(aOptions)) {
    std::cout << "  " << fault.mBegin.count() << " ms, for "
              << fault.mLength.count() << " ms: " << ToText(fault.mKind)
              << " on box " << fault.mBox << "\n";
  }
}

void
SaveLogs(const Soak& aSoak, const SoakOptions& aOptions)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("soak-" + std::to_string(aOptions.mSchedule.mSeed));
  std::filesystem::create_directories(folder);
  for (int box = 0; box < aOptions.mSchedule.mBoxes; ++box) {
    std::ofstream(folder / ("box-" + std::to_string(box) + ".log"))
      << aSoak.LogOf(box);
  }
  std::cout << "  logs: " << folder.string() << "\n";
}

bool
RunSoak(const SoakOptions& aOptions)
{
  Soak soak(aOptions);
  const auto result = soak.Run();
  std::cout << "seed " << aOptions.mSchedule.mSeed << ": " << result.mServed
            << " of " << result.mRequests << " requests served, "
            << result.mViolations.size() << " guarantees violated" << std::endl;
  for (std::size_t i = 0;
       i < std::min(kMaxPrintedViolations, result.mViolations.size());
       ++i) {
    std::cout << "  " << result.mViolations[i] << "\n";
  }
  if (!result.mViolations.empty()) {
    PrintSchedule(aOptions.mSchedule);
    SaveLogs(soak, aOptions);
  }
  return result.mViolations.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("soak", "Faults from a seed against real processes");
  auto add = options.add_options();
  add(
    "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seeds", "number of seeds", cxxopts::value<int>()->default_value("1"));
  add("seconds",
      "length of each run",
      cxxopts::value<int>()->default_value("12"));
  add("boxes", "boxes in each run", cxxopts::value<int>()->default_value("4"));
  add("port-base", "first port", cxxopts::value<int>()->default_value("27000"));
  const auto parsed = options.parse(aCount, aArguments);
  int failed = 0;
  for (int i = 0; i < parsed["seeds"].as<int>(); ++i) {
    SoakOptions one;
    one.mSchedule.mSeed =
      parsed["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
    one.mSchedule.mBoxes = parsed["boxes"].as<int>();
    one.mSchedule.mLength = std::chrono::seconds(parsed["seconds"].as<int>());
    one.mPortBase = parsed["port-base"].as<int>();
    failed += RunSoak(one) ? 0 : 1;
  }
  std::cout << parsed["seeds"].as<int>() - failed << " passed, " << failed
            << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
