#include "porttiller/home/LocalServer.h"

#include "porttiller/http/HttpListener.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22981";
constexpr Millis kPoll{ 2 };
constexpr Millis kLong{ 20'000 };

// A backend server with one slot whose requests run until they are let go.
class OneSlotServer
{
public:
  OneSlotServer()
    : mListener(*HttpListener::Make(
        { .mAddress = kAddress },
        [this](const HttpCall& aCall) { return Serve(aCall); }))
    , mServer({ .mName = BackendServerName("s"),
                .mService = ServiceName("ledger"),
                .mBox = BoxName("a"),
                .mAddress = kAddress },
              { .mFailingServers = FailingServers::kBreak,
                .mHeaders = { .mServerDeadline = "X-Deadline" } },
              mCutoff)
  {
  }

  ~OneSlotServer() { mLetGo = true; }

  std::future<HomeAnswer> Begin(const HomeRequest& aRequest)
  {
    return std::async(std::launch::async,
                      [this, aRequest] { return mServer.Run(aRequest); });
  }

  // Waits until so many requests run or wait.
  void AwaitInFlight(int aCount) const
  {
    const auto bound = Now() + kLong;
    while (mServer.InFlight() < aCount && Now() < bound) {
      std::this_thread::sleep_for(kPoll);
    }
    CHECK(mServer.InFlight() == aCount);
  }

  Cutoff mCutoff;
  std::atomic<bool> mLetGo{ false };

private:
  HttpReply Serve(const HttpCall& aCall) const
  {
    while (!mLetGo && !aCall.mCancelled->IsCancelled()) {
      std::this_thread::sleep_for(kPoll);
    }
    return { .mAnswer = { .mStatus = 200 } };
  }

  std::unique_ptr<HttpListener> mListener;

public:
  LocalServer mServer;
};

HomeRequest
Request(std::uint64_t aNumber, bool aRepeatable = false)
{
  HomeRequest request{ .mAttempt =
                         AttemptId(BoxName("b"), Incarnation(1), aNumber),
                       .mServer = BackendServerName("s"),
                       .mRepeatable = aRepeatable,
                       .mDeadline = Now() + kLong };
  request.mHttp = { .mMethod = "GET",
                    .mTarget = "/",
                    .mHeaders = { { "Host", "ledger" } } };
  return request;
}

} // namespace

TEST_CASE("A server that leaves turns away what waits for its slot")
{
  OneSlotServer server;
  auto running = server.Begin(Request(1));
  server.AwaitInFlight(1);
  auto waiting = server.Begin(Request(2));
  server.AwaitInFlight(2);

  server.mServer.SetLeaving(true);
  const auto turnedAway = waiting.get(); // while the first one still runs
  CHECK(turnedAway.mOutcome == Outcome::kNotRun);
  CHECK(turnedAway.mRefusal == Refusal::kLeaving);
  CHECK(server.mServer.InFlight() == 1);

  server.mLetGo = true;
  CHECK(running.get().mOutcome == Outcome::kRun);
}

TEST_CASE("A server that hangs turns away what waits, but for the last resort")
{
  OneSlotServer server;
  auto running = server.Begin(Request(1));
  server.AwaitInFlight(1);
  auto other = Request(2);
  other.mPriority = Priority::kCritical; // as there is room for two of them
  auto waiting = server.Begin(other);
  server.AwaitInFlight(2);
  auto lastResort = Request(3);
  lastResort.mPriority = Priority::kCritical;
  lastResort.mLastResort = true;
  auto staying = server.Begin(lastResort);
  server.AwaitInFlight(3);

  constexpr Millis kHangsFor{ 5000 };
  constexpr Millis kLasts{ 500 };
  CHECK_FALSE(server.mServer.TakeNews(Now() + kHangsFor).has_value());
  const auto news = server.mServer.TakeNews(Now() + kHangsFor + kLasts);
  REQUIRE(news.has_value());
  CHECK(news->mDemoted);
  CHECK(news->mReceivers == std::vector{ BoxName("b") });
  CHECK(waiting.get().mRefusal == Refusal::kDemoted);
  CHECK(server.mServer.InFlight() == 2);

  server.mLetGo = true;
  CHECK(running.get().mOutcome == Outcome::kRun);
  CHECK(staying.get().mOutcome == Outcome::kRun);
}

TEST_CASE("A server takes its share of repeats and every first attempt")
{
  OneSlotServer server;
  server.mLetGo = true;
  server.mServer.SetRetryBudget({ .mShare = 0.5, .mBurst = 1.0 });
  const auto send = [&](std::uint64_t aNumber, bool aRepeat) {
    auto request = Request(aNumber, true);
    request.mRepeat = aRepeat;
    return server.Begin(request).get();
  };
  CHECK(send(1, true).mOutcome == Outcome::kRun);
  const auto refused = send(2, true);
  CHECK(refused.mOutcome == Outcome::kNotRun);
  CHECK(refused.mRefusal == Refusal::kNoRetries);
  CHECK(send(3, false).mOutcome == Outcome::kRun);
  CHECK(send(4, true).mOutcome == Outcome::kNotRun);
  CHECK(send(5, false).mOutcome == Outcome::kRun);
  CHECK(send(6, true).mOutcome == Outcome::kRun);
}

TEST_CASE("A box that is stopped takes what may run once as the last resort")
{
  OneSlotServer server;
  server.mLetGo = true;
  server.mCutoff.Set(Now() + kLong / 2);

  const auto once = server.Begin(Request(1)).get();
  CHECK(once.mOutcome == Outcome::kNotRun);
  CHECK(once.mRefusal == Refusal::kDemoted);
  CHECK(server.Begin(Request(2, true)).get().mOutcome == Outcome::kRun);

  auto lastResort = Request(3);
  lastResort.mLastResort = true;
  CHECK(server.Begin(lastResort).get().mOutcome == Outcome::kRun);

  auto brief = Request(4);
  brief.mDeadline = Now() + kLong / 4; // it ends before the box does
  CHECK(server.Begin(brief).get().mOutcome == Outcome::kRun);
}
