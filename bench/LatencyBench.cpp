// Latency that the proxy adds: sends the same request alternately to the server
// directly and through two boxes (the entry and the server's home).
// LatencyBench [quick]
#include "Figure.h"
#include "fleet/Fleet.h"

#include <algorithm>
#include <array>
#include <thread>
#include <unistd.h>

namespace {

using namespace porttiller;
using namespace porttiller::bench;

constexpr int kPortBase = 23000;
constexpr int kThreads = 16;
constexpr int kWarmUpPairs = 400;
constexpr double kQuickSeconds = 2.0;
constexpr double kFullSeconds = 10.0;
constexpr int kRates[] = { 150, 1000, 3000 }; // pairs a second
constexpr Millis kCallTimeout{ 5000 };
constexpr std::ptrdiff_t kMinSamples = 50; // for the p99 of a second
constexpr int kPipeRoundTrips = 60;
constexpr Millis kPipeInterval{ 16 };

struct Samples
{
  std::vector<double> mDirectMs;
  std::vector<double> mProxiedMs;
  std::vector<double> mAddedMs; // proxied minus direct, by pair
  std::vector<int> mSecond;     // second of the run, by pair
  int mFailed = 0;              // pairs
};

double
TimeMs(HttpPool& aPool, const HttpRequestData& aRequest, bool& aOk)
{
  const auto start = Now();
  aOk = fleet::SendTo(aPool, aRequest, kCallTimeout).mStatus == 200;
  return std::chrono::duration<double, std::milli>(Now() - start).count();
}

// Sends the pairs of one thread, one every aGap.
Samples
SendPairs(HttpPool& aDirect, HttpPool& aProxied, int aPairs, Micros aGap)
{
  Samples samples;
  const HttpRequestData request{ .mMethod = "POST",
                                 .mTarget = "/purchases",
                                 .mBody = std::string(300, 'x') };
  const auto begin = Now();
  auto next = begin;
  for (int i = 0; i < aPairs; ++i) {
    std::this_thread::sleep_until(next);
    next += aGap;
    bool directOk = false;
    bool proxiedOk = false;
    const double direct = TimeMs(aDirect, request, directOk);
    const double proxied = TimeMs(aProxied, request, proxiedOk);
    if (!directOk || !proxiedOk) {
      ++samples.mFailed;
      continue;
    }
    samples.mDirectMs.push_back(direct);
    samples.mProxiedMs.push_back(proxied);
    samples.mAddedMs.push_back(proxied - direct);
    samples.mSecond.push_back(static_cast<int>(
      std::chrono::duration_cast<std::chrono::seconds>(Now() - begin).count()));
  }
  return samples;
}

Samples
RunRate(fleet::Fleet& aFleet, int aRate, double aSeconds)
{
  HttpPool direct(
    { .mAddress = aFleet.ServerAddress(0), .mMaxConnections = kThreads });
  HttpPool proxied(
    { .mAddress = aFleet.CallerAddress(0), .mMaxConnections = kThreads });
  const int pairs = static_cast<int>(aRate * aSeconds) / kThreads;
  const Micros gap(static_cast<std::int64_t>(1e6 * kThreads / aRate));
  std::vector<Samples> parts(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      std::this_thread::sleep_for(gap * i / kThreads);
      parts[static_cast<std::size_t>(i)] =
        SendPairs(direct, proxied, pairs, gap);
    });
  }
  Samples all;
  for (int i = 0; i < kThreads; ++i) {
    threads[static_cast<std::size_t>(i)].join();
    const auto& part = parts[static_cast<std::size_t>(i)];
    const auto add = [](std::vector<double>& aTo,
                        const std::vector<double>& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    add(all.mDirectMs, part.mDirectMs);
    add(all.mProxiedMs, part.mProxiedMs);
    add(all.mAddedMs, part.mAddedMs);
    all.mSecond.insert(
      all.mSecond.end(), part.mSecond.begin(), part.mSecond.end());
    all.mFailed += part.mFailed;
  }
  return all;
}

// The p99 of each second separately, so that a short stall of the machine
// affects one second only.
std::vector<double>
P99OfSeconds(const Samples& aSamples)
{
  std::vector<std::vector<double>> seconds;
  for (std::size_t i = 0; i < aSamples.mAddedMs.size(); ++i) {
    const auto second = static_cast<std::size_t>(aSamples.mSecond[i]);
    seconds.resize(std::max(seconds.size(), second + 1));
    seconds[second].push_back(aSamples.mAddedMs[i]);
  }
  std::vector<double> p99;
  for (const auto& second : seconds) {
    if (std::ssize(second) >= kMinSamples) {
      p99.push_back(Quantile(second, 0.99));
    }
  }
  return p99;
}

// Round trips over a pair of pipes to a second thread, in milliseconds: the
// time that the machine needs to wake two threads.
std::vector<double>
PipeRoundTrips(int aCount, Micros aGap)
{
  std::array<int, 2> there{};
  std::array<int, 2> back{};
  if (pipe(there.data()) != 0 || pipe(back.data()) != 0) {
    return {};
  }
  std::thread answerer([&] {
    char byte = 0;
    while (read(there[0], &byte, 1) == 1 && write(back[1], &byte, 1) == 1) {
    }
  });
  std::vector<double> times;
  auto next = Now();
  for (int i = 0; i < aCount; ++i) {
    std::this_thread::sleep_until(next);
    next += aGap;
    char byte = 'x';
    const auto start = Now();
    if (write(there[1], &byte, 1) != 1 || read(back[0], &byte, 1) != 1) {
      break;
    }
    times.push_back(
      std::chrono::duration<double, std::milli>(Now() - start).count());
  }
  close(there[1]);
  answerer.join();
  close(there[0]);
  close(back[0]);
  close(back[1]);
  return times;
}

// The p99 of pipe round trips on kThreads threads at once, for about a second.
double
MachineWakeUpP99()
{
  std::vector<std::vector<double>> parts(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (auto& part : parts) {
    threads.emplace_back(
      [&part] { part = PipeRoundTrips(kPipeRoundTrips, kPipeInterval); });
  }
  std::vector<double> all;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    threads[i].join();
    all.insert(all.end(), parts[i].begin(), parts[i].end());
  }
  return Quantile(all, 0.99);
}

void
PrintRate(int aRate, const Samples& aSamples)
{
  const auto scenario = std::to_string(aRate) + "-per-second";
  const FigurePrinter print(scenario, "porttiller");
  print("direct_p50", Quantile(aSamples.mDirectMs, 0.5), "ms");
  print("direct_p99", Quantile(aSamples.mDirectMs, 0.99), "ms");
  print("proxied_p50", Quantile(aSamples.mProxiedMs, 0.5), "ms");
  print("proxied_p99", Quantile(aSamples.mProxiedMs, 0.99), "ms");
  print("added_p50", Quantile(aSamples.mAddedMs, 0.5), "ms");
  print("added_p99", Quantile(aSamples.mAddedMs, 0.99), "ms");
  const auto seconds = P99OfSeconds(aSamples);
  print("added_p99_median_second", Quantile(seconds, 0.5), "ms");
  print("added_p99_best_second", Quantile(seconds, 0.0), "ms");
  print("failed", aSamples.mFailed, "pairs");
}

} // namespace

int
main(int aCount, char**)
{
  const double seconds = aCount > 1 ? kQuickSeconds : kFullSeconds;
  fleet::Fleet boxes({ .mBoxes = 2,
                       .mFirstServerBox = 1,
                       .mSlots = 64,
                       .mPortBase = kPortBase });
  RunRate(boxes, kWarmUpPairs, 1.0);
  for (const int rate : kRates) {
    PrintRate(rate, RunRate(boxes, rate, seconds));
    Print({ "pipe_round_trip_p99",
            std::to_string(rate) + "-per-second",
            "machine",
            MachineWakeUpP99(),
            "ms" });
  }
  return 0;
}
