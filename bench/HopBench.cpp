// Latency of a hop between boxes over pooled keep-alive HTTP, which carries
// requests, and over ZeroMQ, which carries control messages: HopBench [quick]
#include "Figure.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpPool.h"
#include "porttiller/peer/PeerTransport.h"

#include <functional>
#include <thread>

namespace {

using namespace porttiller;
using namespace porttiller::bench;

constexpr const char* kHttpAddress = "127.0.0.1:23901";
constexpr const char* kServerAddress = "127.0.0.1:23902";
constexpr const char* kClientAddress = "127.0.0.1:23903";
constexpr int kThreads = 8;
constexpr int kRates[] = { 150, 1000, 4000 }; // hops a second
constexpr double kQuickSeconds = 1.0;
constexpr double kFullSeconds = 5.0;
constexpr Millis kCallTimeout{ 2000 };
const std::string kBody(300, 'x');

// Latencies of aHop in milliseconds at a constant rate.
std::vector<double>
RunRate(const std::function<bool()>& aHop, int aRate, double aSeconds)
{
  const int count = static_cast<int>(aRate * aSeconds) / kThreads;
  const Micros gap(static_cast<std::int64_t>(1e6 * kThreads / aRate));
  std::vector<std::vector<double>> parts(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      auto next = Now() + gap * t / kThreads;
      for (int i = 0; i < count; ++i) {
        std::this_thread::sleep_until(next);
        next += gap;
        const auto start = Now();
        if (aHop()) {
          parts[static_cast<std::size_t>(t)].push_back(
            std::chrono::duration<double, std::milli>(Now() - start).count());
        }
      }
    });
  }
  std::vector<double> all;
  for (int t = 0; t < kThreads; ++t) {
    threads[static_cast<std::size_t>(t)].join();
    const auto& part = parts[static_cast<std::size_t>(t)];
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

void
Measure(const char* aPolicy, const std::function<bool()>& aHop, double aSeconds)
{
  RunRate(aHop, kRates[1], 0.5); // warm-up: opens the connections
  for (const int rate : kRates) {
    const auto latencies = RunRate(aHop, rate, aSeconds);
    const auto scenario = std::to_string(rate) + "-per-second";
    Print({ "hop_p50", scenario, aPolicy, Quantile(latencies, 0.5), "ms" });
    Print({ "hop_p99", scenario, aPolicy, Quantile(latencies, 0.99), "ms" });
  }
}

void
MeasureHttp(double aSeconds)
{
  const auto listener = HttpListener::Make(
    { .mAddress = kHttpAddress, .mWorkers = 64 }, [](HttpCall& aCall) {
      return HttpReply{ .mAnswer = { .mStatus = 200,
                                     .mBody = std::move(aCall.mHttp.mBody) } };
    });
  HttpPool pool({ .mAddress = kHttpAddress, .mMaxConnections = kThreads });
  const HttpRequestData request{ .mMethod = "POST",
                                 .mTarget = "/",
                                 .mBody = kBody };
  Measure(
    "http",
    [&] {
      const auto deadline = Now() + kCallTimeout;
      const auto exchange = pool.Begin(request, deadline);
      return exchange && (*exchange)->ReadAnswer(deadline).has_value();
    },
    aSeconds);
}

void
MeasureZeroMq(double aSeconds)
{
  const auto server = PeerTransport::Make(
    { .mBindAddress = kServerAddress, .mBox = BoxName("server") },
    [](const wire::Envelope& aRequest, const PeerReplier& aReply) {
      wire::Envelope reply;
      reply.mutable_attempt_reply()->set_body(aRequest.attempt().request_key());
      aReply(reply);
    });
  const auto client = PeerTransport::Make(
    { .mBindAddress = kClientAddress, .mBox = BoxName("client") },
    [](const wire::Envelope&, const PeerReplier&) {});
  wire::Envelope request;
  request.mutable_attempt()->set_request_key(kBody);
  Measure(
    "zeromq",
    [&] {
      return (*client)->Call(kServerAddress, request, kCallTimeout).has_value();
    },
    aSeconds);
}

} // namespace

int
main(int aCount, char**)
{
  const double seconds = aCount > 1 ? kQuickSeconds : kFullSeconds;
  MeasureHttp(seconds);
  MeasureZeroMq(seconds);
  return 0;
}
