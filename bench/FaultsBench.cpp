// Detection time, false ejections and failed requests by scenario and policy,
// in simulated time: FaultsBench [SEEDS [POLICY [SCENARIO]]]
#include "Figure.h"
#include "sim/Simulation.h"

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace {

using namespace porttiller;
using namespace porttiller::bench;

constexpr int kDefaultSeeds = 200;
constexpr int kThreads = 6;
// CusumDetector thresholds of the trade-off between the detection time of gray
// errors and false ejections after noise bursts.
constexpr double kThresholds[] = { 6.0, 12.0, 24.0, 48.0 };
constexpr const char* kPolicies[] = { "porttiller",
                                      "consecutive-failures",
                                      "entry-side",
                                      "round-robin" };

std::vector<RunResult>
RunSeeds(const Deployment& aDeployment,
         const Scenario& aScenario,
         const RunOptions& aOptions,
         int aSeeds)
{
  std::vector<RunResult> results(static_cast<std::size_t>(aSeeds));
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&, options = aOptions]() mutable {
    for (auto i = next++; i < results.size(); i = next++) {
      options.mSeed = i + 1;
      results[i] = Simulation(aDeployment, aScenario, options).Run();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return results;
}

void
PrintOverload(const std::string& aScenario,
              const std::string& aPolicy,
              const std::vector<RunResult>& aResults)
{
  std::vector<double> goodput;
  for (const auto& result : aResults) {
    double good = 0.0;
    for (const int count : result.mGood) {
      good += count;
    }
    goodput.push_back(100.0 * good / result.mCapacity);
  }
  Print({ "goodput", aScenario, aPolicy, Mean(goodput), "% of capacity" });
  for (int i = 0; i < kPriorityCount; ++i) {
    std::vector<double> served;
    for (const auto& result : aResults) {
      const auto index = static_cast<std::size_t>(i);
      served.push_back(100.0 * result.mGood.at(index) /
                       result.mOffered.at(index));
    }
    Print({ "served_" + std::string(ToText(static_cast<Priority>(i))),
            aScenario,
            aPolicy,
            Mean(served),
            "% of offered" });
  }
}

void
PrintRuns(const std::string& aScenario,
          const std::string& aPolicy,
          bool aNoServerAtFault,
          const std::vector<RunResult>& aResults)
{
  std::vector<double> detection;
  std::vector<double> falseEjections;
  std::vector<double> failedPercent;
  int missed = 0;
  for (const auto& result : aResults) {
    if (result.mDetectionMs >= 0.0) {
      detection.push_back(result.mDetectionMs);
    } else {
      ++missed;
    }
    falseEjections.push_back(result.mFalseEjections);
    failedPercent.push_back(100.0 * result.mFailedRequests / result.mRequests);
  }
  const auto runs = static_cast<double>(aResults.size());
  if (!aNoServerAtFault) {
    Print({ "detection_ms_p50",
            aScenario,
            aPolicy,
            Quantile(detection, 0.5),
            "ms" });
    Print({ "detection_ms_p99",
            aScenario,
            aPolicy,
            Quantile(detection, 0.99),
            "ms" });
    Print({ "detection_ms_worst",
            aScenario,
            aPolicy,
            Quantile(detection, 1.0),
            "ms" });
    Print({ "not_detected",
            aScenario,
            aPolicy,
            100.0 * missed / runs,
            "% of runs" });
  }
  Print(
    { "false_ejections", aScenario, aPolicy, Mean(falseEjections), "per run" });
  Print({ "wrong_requests",
          aScenario,
          aPolicy,
          Mean(failedPercent),
          "% of requests" });
}

// Restricts the runs to one policy or scenario; an empty name selects all.
struct Selection
{
  std::string mPolicy;
  std::string mScenario;
};

bool
IsSelected(const std::string& aName, const std::string& aWanted)
{
  return aWanted.empty() || aName == aWanted;
}

void
MeasureAll(int aSeeds, const Selection& aSelection)
{
  for (const auto& deployment : Deployments()) {
    for (const auto& scenario : Scenarios()) {
      for (const char* policy : kPolicies) {
        if (!IsSelected(policy, aSelection.mPolicy) ||
            !IsSelected(scenario.mName, aSelection.mScenario)) {
          continue;
        }
        const auto results =
          RunSeeds(deployment, scenario, { .mPolicy = policy }, aSeeds);
        const auto name = deployment.mName + "/" + scenario.mName;
        PrintRuns(name, policy, scenario.mNoServerAtFault, results);
        if (scenario.mKind == FaultKind::kOverload) {
          PrintOverload(name, policy, results);
        }
      }
    }
  }
}

void
MeasureTradeOff(int aSeeds)
{
  for (const auto& deployment : Deployments()) {
    for (const double threshold : kThresholds) {
      const RunOptions options{ .mThreshold = threshold };
      for (const auto& scenario : Scenarios()) {
        if (scenario.mKind != FaultKind::kGrayErrors &&
            scenario.mKind != FaultKind::kNoiseBursts) {
          continue;
        }
        PrintRuns(deployment.mName + "/" + scenario.mName,
                  "porttiller@" + std::to_string(static_cast<int>(threshold)),
                  scenario.mNoServerAtFault,
                  RunSeeds(deployment, scenario, options, aSeeds));
      }
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : kDefaultSeeds;
  const Selection selection{ .mPolicy = aCount > 2 ? aArguments[2] : "",
                             .mScenario = aCount > 3 ? aArguments[3] : "" };
  MeasureAll(seeds, selection);
  if (selection.mPolicy.empty()) {
    MeasureTradeOff(seeds);
  }
  return 0;
}
