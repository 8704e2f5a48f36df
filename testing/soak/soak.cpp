// Plays soaks: "soak [--seed N] [--seeds N] [--seconds S] [--boxes N]". Ends
// with 1 when a promise was broken; names the seed, which reproduces the
// schedule, and keeps the logs of the boxes.
#include "soak/Soak.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace porttiller;
using namespace porttiller::soak;

namespace {

// Of broken promises, printed for each seed.
constexpr std::size_t kShownLines = 8;

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
KeepLogs(const Soak& aSoak, const SoakOptions& aOptions)
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
Play(const SoakOptions& aOptions)
{
  Soak soak(aOptions);
  const auto result = soak.Run();
  std::cout << "seed " << aOptions.mSchedule.mSeed << ": " << result.mServed
            << " of " << result.mRequests << " requests served, "
            << result.mBroken.size() << " promises broken" << std::endl;
  for (std::size_t i = 0; i < std::min(kShownLines, result.mBroken.size());
       ++i) {
    std::cout << "  " << result.mBroken[i] << "\n";
  }
  if (!result.mBroken.empty()) {
    PrintSchedule(aOptions.mSchedule);
    KeepLogs(soak, aOptions);
  }
  return result.mBroken.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("soak", "Faults from a seed against real processes");
  auto add = options.add_options();
  add(
    "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("seeds", "how many", cxxopts::value<int>()->default_value("1"));
  add("seconds", "of each", cxxopts::value<int>()->default_value("12"));
  add("boxes", "of each", cxxopts::value<int>()->default_value("4"));
  add("port-base", "ports", cxxopts::value<int>()->default_value("27000"));
  const auto given = options.parse(aCount, aArguments);
  int failed = 0;
  for (int i = 0; i < given["seeds"].as<int>(); ++i) {
    SoakOptions one;
    one.mSchedule.mSeed =
      given["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
    one.mSchedule.mBoxes = given["boxes"].as<int>();
    one.mSchedule.mLength = std::chrono::seconds(given["seconds"].as<int>());
    one.mPortBase = given["port-base"].as<int>();
    failed += Play(one) ? 0 : 1;
  }
  std::cout << given["seeds"].as<int>() - failed << " passed, " << failed
            << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
