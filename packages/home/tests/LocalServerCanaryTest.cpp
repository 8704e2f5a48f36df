#include "porttiller/home/LocalServer.h"

#include "porttiller/http/HttpListener.h"
#include "porttiller/telemetry/Metrics.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22987";
constexpr Millis kPoll{ 2 };
constexpr Millis kLong{ 20'000 };
constexpr Millis kDeadline{ 120'000 };
// Only a response or an event ends a wait within the time of a test.
constexpr CanaryGateOptions kSlowGate{ .mProofTime = Millis(30'000),
                                       .mSignalValidity = Millis(60'000),
                                       .mMaxWait = Millis(60'000) };

// A backend server. It answers the first mReleased requests and runs the others
// until more are released or their callers disconnect.
class GatedServer
{
public:
  explicit GatedServer(CanaryGateOptions aGate,
                       int aSlots = 8,
                       FailingServers aFailingServers = FailingServers::kBreak)
    : mListener(*HttpListener::Make(
        { .mAddress = kAddress },
        [this](const HttpCall& aCall) { return Serve(aCall); }))
    , mServer({ .mName = BackendServerName("s"),
                .mService = ServiceName("ledger"),
                .mBox = BoxName("a"),
                .mAddress = kAddress,
                .mSlots = aSlots,
                .mConnections = aSlots },
              { .mFailingServers = aFailingServers,
                .mHeaders = { .mRequestId = "X-Id",
                              .mServerDeadline = "X-Deadline",
                              .mSignature = "X-Signature",
                              .mServerLimit = "X-Limit" },
                .mGate = aGate,
                .mMetrics = &mMetrics },
              std::make_shared<ServerThrottle>(
                ServerIncarnation(BackendServerName("s"))),
              mShutdownDeadline,
              mCrashes)
  {
  }

  ~GatedServer() { mReleased = kAll; }
  GatedServer(const GatedServer&) = delete;
  GatedServer& operator=(const GatedServer&) = delete;

  std::future<HomeAnswer> Begin(const HomeRequest& aRequest)
  {
    return std::async(std::launch::async,
                      [this, aRequest] { return mServer.Run(aRequest); });
  }

  // Begins aRequest and waits until aInFlight requests run or wait.
  std::future<HomeAnswer> Begin(const HomeRequest& aRequest, int aInFlight)
  {
    auto answer = Begin(aRequest);
    Await([&] { return mServer.InFlight() == aInFlight; });
    return answer;
  }

  template<typename Condition>
  static void Await(Condition aCondition)
  {
    const auto bound = Now() + kLong;
    while (!aCondition() && Now() < bound) {
      std::this_thread::sleep_for(kPoll);
    }
    CHECK(aCondition());
  }

  // The ids of the requests that reached the server, in this order.
  std::vector<std::string> Served() const
  {
    const std::lock_guard lock(mMutex);
    return mServed;
  }
  void AwaitServed(std::size_t aCount) const
  {
    Await([&] { return Served().size() == aCount; });
  }

  double Held() { return mMetrics.HeldRequests().Value(); }
  double Canaries() { return mMetrics.Canaries().Value(); }
  double Rejected() { return mMetrics.RejectedHeld().Value(); }

  static constexpr int kAll = 1000;

  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashes;
  Metrics mMetrics;
  std::atomic<int> mReleased{ 0 };
  std::atomic<bool> mSpoils{ false }; // responses without a signature are lost
  std::atomic<bool> mNamesLimit{ false };

private:
  HttpReply Serve(const HttpCall& aCall)
  {
    const auto id = HeaderValue(aCall.mHttp.mHeaders, "X-Id");
    int number = 0;
    {
      const std::lock_guard lock(mMutex);
      mServed.push_back(id);
      number = static_cast<int>(mServed.size());
    }
    while (number > mReleased && !aCall.mCancelled->IsCancelled()) {
      std::this_thread::sleep_for(kPoll);
    }
    HttpReply reply{ .mAnswer = { .mStatus = 200,
                                  .mHeaders = { { "X-Id", id } } } };
    if (!mSpoils) {
      reply.mAnswer.mHeaders.push_back({ "X-Signature", "1" });
    }
    if (mNamesLimit) {
      reply.mAnswer.mHeaders.push_back({ "X-Limit", "1000" });
    }
    return reply;
  }

  mutable std::mutex mMutex;
  std::vector<std::string> mServed;
  std::unique_ptr<HttpListener> mListener;

public:
  LocalServer mServer;
};

HomeRequest
Repeatable(std::uint64_t aNumber)
{
  HomeRequest request{ .mAttempt =
                         AttemptId(BoxName("b"), Incarnation(1), aNumber),
                       .mServer = BackendServerName("s"),
                       // The queue of one slot holds two critical requests.
                       .mPriority = Priority::kCritical,
                       .mRepeatable = true,
                       .mCanFailOver = true,
                       .mDeadline = Now() + kDeadline,
                       .mRequestId = std::to_string(aNumber),
                       .mLongTarget = 10 * kDeadline };
  request.mHttp = { .mMethod = "GET",
                    .mTarget = "/",
                    .mHeaders = { { "X-Id", request.mRequestId } } };
  return request;
}

HomeRequest
Unrepeatable(std::uint64_t aNumber)
{
  auto request = Repeatable(aNumber);
  request.mRepeatable = false;
  request.mCanFailOver = false;
  return request;
}

} // namespace

TEST_CASE("Only unrepeatable long requests wait for a signal")
{
  // Guards against the rules for long requests affecting other requests. A
  // signal is never valid here, so each request that waits is counted.
  constexpr CanaryGateOptions kNeverOpen{ .mSignalValidity = Millis(0) };
  const auto notLong = [](HomeRequest aRequest) {
    aRequest.mLongTarget.reset();
    return aRequest;
  };
  GatedServer server(kNeverOpen);
  server.mReleased = GatedServer::kAll;
  SUBCASE("not long")
  {
    CHECK(server.mServer.Run(notLong(Unrepeatable(1))).mOutcome ==
          Outcome::kRun);
    CHECK(server.mServer.Run(notLong(Repeatable(2))).mOutcome == Outcome::kRun);
    CHECK(server.Held() == 0);
    CHECK(server.Canaries() == 0);
  }
  SUBCASE("repeatable")
  {
    CHECK(server.mServer.Run(Repeatable(1)).mOutcome == Outcome::kRun);
    CHECK(server.Held() == 0);
    CHECK(server.Canaries() == 0);
  }
  SUBCASE("of last resort")
  {
    auto lastResort = Unrepeatable(1);
    lastResort.mLastResort = true;
    CHECK(server.mServer.Run(lastResort).mOutcome == Outcome::kRun);
    CHECK(server.Held() == 0);
    CHECK(server.Canaries() == 0);
  }
  SUBCASE("for a server that names a limit")
  {
    server.mNamesLimit = true;
    CHECK(server.mServer.Run(Repeatable(1)).mOutcome == Outcome::kRun);
    auto paced = server.mServer.Run(Unrepeatable(2));
    // Its start may be due only after a moment.
    CHECK((paced.mOutcome == Outcome::kRun ||
           paced.mRejectReason == RejectReason::kLimited));
    CHECK(server.Held() == 0);
    CHECK(server.Canaries() == 0);
  }
  SUBCASE("unrepeatable and long")
  {
    CHECK(server.mServer.Run(Unrepeatable(1)).mOutcome == Outcome::kRun);
    CHECK(server.Held() == 1);
    CHECK(server.Canaries() == 1);
    CHECK(server.Rejected() == 0);
  }
}

TEST_CASE("Without a breaker no request waits for a signal")
{
  GatedServer server(kSlowGate, 8, FailingServers::kEject);
  server.mReleased = GatedServer::kAll;
  CHECK(server.mServer.Run(Unrepeatable(1)).mOutcome == Outcome::kRun);
  CHECK(server.Held() == 0);
}

TEST_CASE("A request that runs for the proof time lets held ones start")
{
  auto gate = kSlowGate;
  gate.mProofTime = Millis(30);
  GatedServer server(gate);
  auto held = server.Begin(Unrepeatable(1), 1);
  auto running = server.Begin(Repeatable(2));
  server.AwaitServed(2); // while neither has a response
  CHECK(server.Served() == std::vector<std::string>{ "2", "1" });
  server.mReleased = GatedServer::kAll;
  CHECK(held.get().mOutcome == Outcome::kRun);
  CHECK(running.get().mOutcome == Outcome::kRun);
  CHECK(server.Held() == 1);
  CHECK(server.Canaries() == 0);
}

TEST_CASE("A held request holds no slot and starts in the order of arrival")
{
  // Guards against held requests being overtaken by those that queue for the
  // slot after them.
  GatedServer server(kSlowGate, 1);
  auto held = server.Begin(Unrepeatable(1), 1);
  auto running = server.Begin(Repeatable(2), 2);
  server.AwaitServed(1); // it has the only slot
  auto queued = server.Begin(Repeatable(3), 3);
  server.mReleased = 1;
  CHECK(running.get().mOutcome == Outcome::kRun);
  server.AwaitServed(2);
  CHECK(server.Served() == std::vector<std::string>{ "2", "1" });
  server.mReleased = GatedServer::kAll;
  CHECK(held.get().mOutcome == Outcome::kRun);
  CHECK(queued.get().mOutcome == Outcome::kRun);
  CHECK(server.Canaries() == 0);
}

TEST_CASE("A held request is rejected as not run")
{
  GatedServer server(kSlowGate);
  auto request = Unrepeatable(1);
  request.mCancelled = Cancellation::Make();
  auto held = server.Begin(request, 1);
  auto expected = RejectReason::kNone;
  SUBCASE("when the breaker opens")
  {
    server.mSpoils = true;
    server.mReleased = GatedServer::kAll;
    CHECK(server.mServer.Run(Repeatable(2)).mOutcome == Outcome::kUnknown);
    expected = RejectReason::kDemoted;
  }
  SUBCASE("when the server is leaving")
  {
    server.mServer.SetLeaving(true);
    expected = RejectReason::kLeaving;
  }
  SUBCASE("in a planned stop")
  {
    server.mShutdownDeadline.Set(Now() + 2 * kDeadline);
    expected = RejectReason::kLeaving;
  }
  SUBCASE("when its caller disconnects")
  {
    request.mCancelled->Cancel();
    expected = RejectReason::kExpired;
  }
  SUBCASE("when it is revoked")
  {
    CHECK(server.mServer.CancelWaiting(request.mAttempt));
    CHECK_FALSE(server.mServer.CancelWaiting(request.mAttempt));
    expected = RejectReason::kExpired;
  }
  const auto answer = held.get();
  CHECK(answer.mOutcome == Outcome::kNotRun);
  CHECK(answer.mRejectReason == expected);
  const auto served = server.Served();
  CHECK(std::count(served.begin(), served.end(), "1") == 0);
  CHECK(server.Held() == 1);
  CHECK(server.Rejected() == 1);
  CHECK(server.Canaries() == 0);
  CHECK(server.mServer.InFlight() == 0);
}

TEST_CASE("At a failing server only the canary of the held requests is lost")
{
  // Guards against all of the requests that wait being sent when their time is
  // up. The proof time leaves the canary 2 s to fail.
  GatedServer server({ .mProofTime = Millis(2000), .mMaxWait = Millis(2300) });
  server.mSpoils = true;
  server.mReleased = GatedServer::kAll;
  constexpr int kRequests = 5;
  std::vector<std::future<HomeAnswer>> answers;
  for (int i = 1; i <= kRequests; ++i) {
    answers.push_back(server.Begin(Unrepeatable(i)));
  }
  int lost = 0;
  int demoted = 0;
  for (auto& answer : answers) {
    const auto ended = answer.get();
    lost += ended.mOutcome == Outcome::kUnknown ? 1 : 0;
    demoted += ended.mRejectReason == RejectReason::kDemoted ? 1 : 0;
  }
  CHECK(lost == 1);
  CHECK(demoted == kRequests - 1);
  CHECK(server.Served().size() == 1);
  CHECK(server.Canaries() == 1);
}

TEST_CASE("At a healthy server one canary lets all held requests start")
{
  GatedServer server({ .mProofTime = Millis(1000),
                       .mSignalValidity = Millis(60'000),
                       .mMaxWait = Millis(1300) });
  constexpr int kRequests = 5;
  std::vector<std::future<HomeAnswer>> answers;
  for (int i = 1; i <= kRequests; ++i) {
    answers.push_back(server.Begin(Unrepeatable(i), i));
  }
  server.AwaitServed(kRequests);
  CHECK(server.Canaries() == 1);
  server.mReleased = GatedServer::kAll;
  for (auto& answer : answers) {
    CHECK(answer.get().mOutcome == Outcome::kRun);
  }
}

TEST_CASE("A queued request that gets its slot without a signal is held")
{
  // Guards against sending it on because it has waited: the slot was freed by
  // the caller of another request, not by a response.
  GatedServer server(kSlowGate, 1);
  auto first = Repeatable(1);
  first.mCancelled = Cancellation::Make();
  auto running = server.Begin(first, 1);
  server.AwaitServed(1);
  auto queued = server.Begin(Unrepeatable(2), 2);
  first.mCancelled->Cancel();
  CHECK(running.get().mOutcome == Outcome::kUnknown);

  auto repeatable = server.Begin(Repeatable(3)); // takes the free slot
  server.AwaitServed(2);
  CHECK(server.Served() == std::vector<std::string>{ "1", "3" });
  server.mReleased = GatedServer::kAll;
  CHECK(repeatable.get().mOutcome == Outcome::kRun);
  CHECK(queued.get().mOutcome == Outcome::kRun);
  CHECK(server.Held() == 1);
  CHECK(server.Canaries() == 0);
}
