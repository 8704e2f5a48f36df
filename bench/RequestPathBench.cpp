// Cost of a request on the boxes of its path: processor time and wake-ups of a
// small fleet of real processes, idle and under a constant load:
// RequestPathBench [--boxes N] [--rate N] [--seconds N] [--work MS]
#include "Figure.h"
#include "fleet/MeshFleet.h"

#include <atomic>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace porttiller;
using namespace porttiller::bench;
using namespace porttiller::fleet;

namespace {

constexpr int kPortBase = 25000;
constexpr int kThreads = 4;
constexpr Millis kSettle{ 3000 };

// Totals of all boxes: since their start, and the current number of threads.
struct Usage
{
  double mCpuMs = 0.0;
  double mSwitches = 0.0; // voluntary context switches, one per wake-up
  double mThreads = 0.0;
};

// Voluntary context switches of all threads of a process.
double
SwitchesOf(int aPid)
{
  double sum = 0.0;
  const auto tasks = "/proc/" + std::to_string(aPid) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks)) {
    std::ifstream status(task.path() / "status");
    for (std::string line; std::getline(status, line);) {
      constexpr std::string_view kField = "voluntary_ctxt_switches:";
      if (line.starts_with(kField)) {
        sum += std::stod(line.substr(kField.size()));
      }
    }
  }
  return sum;
}

Usage
UsageOf(const MeshFleet& aFleet, int aBoxes)
{
  Usage usage;
  for (int box = 0; box < aBoxes; ++box) {
    const int pid = aFleet.PidOf(box);
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;) {
      values.push_back(value);
    }
    constexpr std::size_t kUserTime = 11; // index after the process name
    constexpr std::size_t kSystemTime = 12;
    constexpr std::size_t kThreadCount = 17;
    const double ticks =
      std::stod(values.at(kUserTime)) + std::stod(values.at(kSystemTime));
    usage.mCpuMs += 1000.0 * ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.mThreads += std::stod(values.at(kThreadCount));
    usage.mSwitches += SwitchesOf(pid);
  }
  return usage;
}

void
PrintValue(const std::string& aScenario,
           const std::string& aMeasure,
           double aValue,
           const std::string& aUnit)
{
  Print({ .mMeasure = aMeasure,
          .mScenario = aScenario,
          .mPolicy = "porttiller",
          .mValue = aValue,
          .mUnit = aUnit });
}

// Each thread keeps a connection to every box and sends to the boxes
// round-robin. Returns the number of requests answered with 200.
int
SendLoad(MeshFleet& aFleet, int aBoxes, double aRate, double aSeconds)
{
  std::atomic<int> served{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  const auto start = Now();
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      std::vector<std::unique_ptr<HttpPool>> pools;
      pools.reserve(static_cast<std::size_t>(aBoxes));
      for (int box = 0; box < aBoxes; ++box) {
        pools.push_back(std::make_unique<HttpPool>(
          HttpPoolOptions{ .mAddress = aFleet.CallerAddress(box) }));
      }
      const int count = static_cast<int>(aRate * aSeconds / kThreads);
      for (int i = 0; i < count; ++i) {
        const auto due =
          (i + static_cast<double>(thread) / kThreads) * kThreads / aRate;
        std::this_thread::sleep_until(
          start + Micros(static_cast<Micros::rep>(due * 1e6)));
        const int box = (i + thread) % aBoxes;
        const bool once = i % 2 == 0;
        const auto reply =
          aFleet.Send({ .mBox = box,
                        .mMethod = once ? "POST" : "GET",
                        .mTarget = once ? "/once/x" : "/safe/x",
                        .mId = std::to_string(thread) + "-" + std::to_string(i),
                        .mKey = "key",
                        .mBody = once ? std::string(300, 'x') : "",
                        .mPool = pools[static_cast<std::size_t>(box)].get() });
        served += reply.mStatus == 200 ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return served;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("RequestPathBench",
                           "What a request costs the boxes");
  options.add_options()(
    "boxes", "boxes", cxxopts::value<int>()->default_value("6"))(
    "rate", "requests a second", cxxopts::value<double>()->default_value("72"))(
    "seconds",
    "of load, and at rest",
    cxxopts::value<double>()->default_value("10"))(
    "work",
    "milliseconds of a server",
    cxxopts::value<int>()->default_value("20"))("help", "shows this");
  const auto arguments = options.parse(aCount, aArguments);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const int boxes = arguments["boxes"].as<int>();
  const double rate = arguments["rate"].as<double>();
  const double seconds = arguments["seconds"].as<double>();
  MeshFleet fleet(boxes, kPortBase);
  fleet.SetWorkspaces(
    R"({"w":{"ApiKeys":["key"],"RatePerS":100000,"Burst":100000}})");
  for (int box = 0; box < boxes; ++box) {
    fleet.Server(box).Set({ .mWork = Millis(arguments["work"].as<int>()) });
  }
  std::this_thread::sleep_for(kSettle);
  const auto before = UsageOf(fleet, boxes);
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  const auto afterIdle = UsageOf(fleet, boxes);
  const int served = SendLoad(fleet, boxes, rate, seconds);
  const auto after = UsageOf(fleet, boxes);
  const double boxSeconds = boxes * seconds;
  PrintValue("rest",
             "processor",
             (afterIdle.mCpuMs - before.mCpuMs) / boxSeconds,
             "ms per box and s");
  PrintValue("rest",
             "wake-ups",
             (afterIdle.mSwitches - before.mSwitches) / boxSeconds,
             "per box and s");
  PrintValue("rest", "threads", afterIdle.mThreads / boxes, "per box");
  const auto extra = [&](double aAfter, double aAfterIdle, double aBefore) {
    return (aAfter - aAfterIdle - (aAfterIdle - aBefore)) / served;
  };
  PrintValue("load", "served", served, "requests");
  PrintValue("load",
             "processor",
             extra(after.mCpuMs, afterIdle.mCpuMs, before.mCpuMs),
             "ms per request");
  PrintValue("load",
             "wake-ups",
             extra(after.mSwitches, afterIdle.mSwitches, before.mSwitches),
             "per request");
  return 0;
}
