#include "porttiller/home/LocalServer.h"

#include "porttiller/http/HttpListener.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22982";
constexpr Millis kPoll{ 2 };
constexpr Millis kLong{ 20'000 };

// A backend server with four slots that names a limit in each answer.
class LimitedServer
{
public:
  explicit LimitedServer(std::string aLimit)
    : mListener(*HttpListener::Make(
        { .mAddress = kAddress },
        [aLimit](const HttpCall&) -> HttpReply {
          return { .mAnswer = { .mStatus = 200,
                                .mHeaders = { { "Limit", aLimit } } } };
        }))
    , mServer({ .mName = BackendServerName("s"),
                .mService = ServiceName("ledger"),
                .mBox = BoxName("a"),
                .mAddress = kAddress,
                .mSlots = 4 },
              { .mFailingServers = FailingServers::kBreak,
                .mHeaders = { .mServerDeadline = "X-Deadline",
                              .mServerLimit = "Limit" } },
              std::make_shared<ServerThrottle>(
                ServerIncarnation(BackendServerName("s"))),
              mShutdownDeadline,
              mCrashes)
  {
  }

  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashes;

private:
  std::unique_ptr<HttpListener> mListener;

public:
  LocalServer mServer;
};

HomeRequest
Request(std::uint64_t aNumber, bool aLastResort = false)
{
  HomeRequest request{ .mAttempt =
                         AttemptId(BoxName("b"), Incarnation(1), aNumber),
                       .mServer = BackendServerName("s"),
                       .mPriority = Priority::kCritical,
                       .mLastResort = aLastResort,
                       .mDeadline = Now() + kLong };
  request.mHttp = { .mMethod = "GET", .mTarget = "/" };
  return request;
}

} // namespace

TEST_CASE("Requests beyond a limit are rejected at once as not run")
{
  LimitedServer server("0.5");
  const auto first = server.mServer.Run(Request(1));
  CHECK(first.mOutcome == Outcome::kRun);
  REQUIRE(first.mDemand.mLimit);
  CHECK(first.mDemand.mLimit->mRate == 0.5);
  const auto second = server.mServer.Run(Request(2));
  CHECK(second.mOutcome == Outcome::kNotRun);
  CHECK(second.mRejectReason == RejectReason::kLimited);
  CHECK(second.mRetryAfter >= Millis(1000));
  CHECK(second.mDemand.mLimit);
}

TEST_CASE("A request that no other server takes waits for its start")
{
  LimitedServer server("4");
  CHECK(server.mServer.Run(Request(1)).mOutcome == Outcome::kRun);
  CHECK(server.mServer.Run(Request(2, true)).mOutcome == Outcome::kRun);
  CHECK(server.mServer.Run(Request(3, true)).mOutcome == Outcome::kRun);
}

TEST_CASE("A request that waits for its start can be revoked")
{
  LimitedServer server("1");
  CHECK(server.mServer.Run(Request(1)).mOutcome == Outcome::kRun);
  auto waiting = std::async(
    std::launch::async, [&] { return server.mServer.Run(Request(2, true)); });
  const auto bound = Now() + kLong;
  bool revoked = false;
  while (!revoked && Now() < bound &&
         waiting.wait_for(kPoll) != std::future_status::ready) {
    revoked = server.mServer.CancelWaiting(Request(2).mAttempt);
  }
  CHECK(waiting.get().mOutcome == (revoked ? Outcome::kNotRun : Outcome::kRun));
}

TEST_CASE("A limit that an entry reports holds before the server is asked")
{
  LimitedServer server("1");
  auto request = Request(1);
  request.mLimit = { .mRate = 1.0, .mAge = Millis(100) };
  CHECK(server.mServer.Run(request).mRejectReason == RejectReason::kLimited);
}

TEST_CASE("A change of a server's demands is reported once more")
{
  LimitedServer server("3");
  const auto now = Now();
  CHECK_FALSE(server.mServer.TakeStateUpdate(now));
  CHECK(server.mServer.Run(Request(1)).mOutcome == Outcome::kRun);
  const auto update = server.mServer.TakeStateUpdate(now);
  REQUIRE(update);
  REQUIRE(update->mDemand.mLimit);
  CHECK(update->mDemand.mLimit->mRate == 3.0);
  CHECK_FALSE(update->mDemoted);
  CHECK_FALSE(server.mServer.TakeStateUpdate(now + Millis(500)));
  CHECK(server.mServer.TakeStateUpdate(now + Millis(1100)));
  CHECK_FALSE(server.mServer.TakeStateUpdate(now + Millis(3000)));
}
