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

// A backend server with one slot whose requests run until mRelease is set.
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
              std::make_shared<ServerThrottle>(
                ServerIncarnation(BackendServerName("s"))),
              mShutdownDeadline,
              mCrashes)
  {
  }

  ~OneSlotServer() { mRelease = true; }

  std::future<HomeAnswer> Begin(const HomeRequest& aRequest)
  {
    return std::async(std::launch::async,
                      [this, aRequest] { return mServer.Run(aRequest); });
  }

  // Waits until aCount requests run or wait for a slot.
  void AwaitInFlight(int aCount) const
  {
    const auto bound = Now() + kLong;
    while (mServer.InFlight() < aCount && Now() < bound) {
      std::this_thread::sleep_for(kPoll);
    }
    CHECK(mServer.InFlight() == aCount);
  }

  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashes;
  std::atomic<bool> mRelease{ false };

private:
  HttpReply Serve(const HttpCall& aCall) const
  {
    while (!mRelease && !aCall.mCancelled->IsCancelled()) {
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

TEST_CASE("A leaving server rejects requests that wait for a slot")
{
  OneSlotServer server;
  auto running = server.Begin(Request(1));
  server.AwaitInFlight(1);
  auto waiting = server.Begin(Request(2));
  server.AwaitInFlight(2);

  server.mServer.SetLeaving(true);
  const auto rejected = waiting.get(); // while the first one still runs
  CHECK(rejected.mOutcome == Outcome::kNotRun);
  CHECK(rejected.mRejectReason == RejectReason::kLeaving);
  CHECK(server.mServer.InFlight() == 1);

  server.mRelease = true;
  CHECK(running.get().mOutcome == Outcome::kRun);
}

TEST_CASE("A hanging server rejects waiting requests except as a last resort")
{
  OneSlotServer server;
  auto running = server.Begin(Request(1));
  server.AwaitInFlight(1);
  auto other = Request(2);
  other.mPriority = Priority::kCritical; // the queue holds two of them
  auto waiting = server.Begin(other);
  server.AwaitInFlight(2);
  auto lastResort = Request(3);
  lastResort.mPriority = Priority::kCritical;
  lastResort.mLastResort = true;
  auto staying = server.Begin(lastResort);
  server.AwaitInFlight(3);

  constexpr Millis kHangTime{ 5000 };
  constexpr Millis kReportDelay{ 500 };
  CHECK_FALSE(server.mServer.TakeStateUpdate(Now() + kHangTime).has_value());
  const auto update =
    server.mServer.TakeStateUpdate(Now() + kHangTime + kReportDelay);
  REQUIRE(update.has_value());
  CHECK(update->mDemoted);
  CHECK(update->mReceivers == std::vector{ BoxName("b") });
  CHECK(waiting.get().mRejectReason == RejectReason::kDemoted);
  CHECK(server.mServer.InFlight() == 2);

  server.mRelease = true;
  CHECK(running.get().mOutcome == Outcome::kRun);
  CHECK(staying.get().mOutcome == Outcome::kRun);
}

TEST_CASE("A server accepts its share of retries and every first attempt")
{
  OneSlotServer server;
  server.mRelease = true;
  server.mServer.SetRetryBudget({ .mShare = 0.5, .mBurst = 1.0 });
  const auto send = [&](std::uint64_t aNumber, bool aIsRetry) {
    auto request = Request(aNumber, true);
    request.mIsRetry = aIsRetry;
    return server.Begin(request).get();
  };
  CHECK(send(1, true).mOutcome == Outcome::kRun);
  const auto rejected = send(2, true);
  CHECK(rejected.mOutcome == Outcome::kNotRun);
  CHECK(rejected.mRejectReason == RejectReason::kNoRetries);
  CHECK(send(3, false).mOutcome == Outcome::kRun);
  CHECK(send(4, true).mOutcome == Outcome::kNotRun);
  CHECK(send(5, false).mOutcome == Outcome::kRun);
  CHECK(send(6, true).mOutcome == Outcome::kRun);
}

TEST_CASE(
  "A stopping box accepts non-repeatable requests only as a last resort")
{
  OneSlotServer server;
  server.mRelease = true;
  server.mShutdownDeadline.Set(Now() + kLong / 2);

  const auto once = server.Begin(Request(1)).get();
  CHECK(once.mOutcome == Outcome::kNotRun);
  CHECK(once.mRejectReason == RejectReason::kDemoted);
  CHECK(server.Begin(Request(2, true)).get().mOutcome == Outcome::kRun);

  auto lastResort = Request(3);
  lastResort.mLastResort = true;
  CHECK(server.Begin(lastResort).get().mOutcome == Outcome::kRun);

  auto brief = Request(4);
  brief.mDeadline = Now() + kLong / 4; // it expires before the stop ends
  CHECK(server.Begin(brief).get().mOutcome == Outcome::kRun);
}

TEST_CASE("A home says of a long request's rejection that the server is silent")
{
  for (const bool isLong : { false, true }) {
    CAPTURE(isLong);
    OneSlotServer server;
    auto running = server.Begin(Request(1));
    server.AwaitInFlight(1);
    auto request = Request(2);
    request.mPriority = Priority::kCritical;
    if (isLong) {
      request.mLongTarget = Millis(5000);
    }
    auto waiting = server.Begin(request);
    server.AwaitInFlight(2);
    constexpr Millis kHangTime{ 5000 };
    constexpr Millis kReportDelay{ 500 };
    server.mServer.TakeStateUpdate(Now() + kHangTime);
    server.mServer.TakeStateUpdate(Now() + kHangTime + kReportDelay);
    const auto rejected = waiting.get();
    CHECK(rejected.mRejectReason == RejectReason::kDemoted);
    CHECK(rejected.mSilent == isLong);
    server.mRelease = true;
    CHECK(running.get().mOutcome == Outcome::kRun);
  }
}

TEST_CASE("A server admits hedges of long requests while its budget is full")
{
  OneSlotServer server;
  server.mRelease = true;
  server.mServer.SetRetryBudget({ .mShare = 0.5, .mBurst = 6.0 });
  std::uint64_t number = 0;
  const auto send = [&](bool aIsHedge, Priority aPriority, bool aIsLong) {
    auto request = Request(++number, true);
    request.mIsRetry = true;
    request.mIsHedge = aIsHedge;
    request.mPriority = aPriority;
    if (aIsLong) {
      request.mLongTarget = Millis(4000);
    }
    return server.Begin(request).get().mRejectReason;
  };
  const auto ran = RejectReason::kNone;
  const auto spent = RejectReason::kNoRetries;
  // The budget starts with a burst of ten and keeps six.
  for (int i = 0; i < 3; ++i) {
    CHECK(send(true, Priority::kNormal, true) == ran);
  }
  CHECK(send(true, Priority::kCritical, true) == spent); // three of six left
  CHECK(send(false, Priority::kSheddable, true) == ran);
  CHECK(send(false, Priority::kSheddable, true) == spent);
  CHECK(send(false, Priority::kNormal, true) == ran);
  CHECK(send(false, Priority::kCritical, true) == ran);
  CHECK(send(false, Priority::kCritical, true) == spent);
}

TEST_CASE("Requests that are not long use the whole retry budget")
{
  // Guards against a change for services without long requests.
  OneSlotServer server;
  server.mRelease = true;
  server.mServer.SetRetryBudget({ .mShare = 0.5, .mBurst = 6.0 });
  for (std::uint64_t i = 1; i <= 7; ++i) {
    CAPTURE(i);
    auto request = Request(i, true);
    request.mIsRetry = true;
    request.mIsHedge = i % 2 == 0;
    request.mPriority = Priority::kSheddable;
    const auto answer = server.Begin(request).get();
    CHECK(answer.mRejectReason ==
          (i <= 6 ? RejectReason::kNone : RejectReason::kNoRetries));
  }
}
