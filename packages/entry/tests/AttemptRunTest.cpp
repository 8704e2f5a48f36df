#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/hop/HopCodec.h"
#include "porttiller/http/HttpListener.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kHomeAddress = "127.0.0.1:22955";
constexpr const char* kControlAddress = "127.0.0.1:22956";
constexpr Millis kBound{ 20'000 };
constexpr Millis kPoll{ 2 };
constexpr Millis kRetryAfter{ 4000 };
// A tenth of this target, for which a request may wait, is longer than kBound:
// such a wait ends only if something ends it.
constexpr Millis kEndlessTarget{ 600'000 };

BackendServerName
Server(int aIndex)
{
  return BackendServerName("server-" + std::to_string(aIndex));
}

HomeAnswer
Rejected(RejectReason aRejectReason)
{
  return { .mOutcome = Outcome::kNotRun,
           .mRejectReason = aRejectReason,
           .mRetryAfter = kRetryAfter };
}

const HomeAnswer kServed{ .mOutcome = Outcome::kRun,
                          .mHttp = { .mStatus = 200 } };

// Returns the answer of the home of one server. aAsked: how often this server
// was asked before.
using HomeBehaviour = std::function<HomeAnswer(const HomeRequest&, int aAsked)>;

// An entry and the homes of the servers of one service, which share one
// address.
class EntryFixture
{
public:
  EntryFixture(int aServers, HomeBehaviour aBehaviour)
    : mBehaviour(std::move(aBehaviour))
    , mHomes(*HttpListener::Make(
        { .mAddress = kHomeAddress },
        [this](HttpCall& aCall) { return ServeHome(aCall); }))
    , mTransport(*PeerTransport::Make(
        { .mBindAddress = kControlAddress, .mBox = BoxName("entry") },
        [](const wire::Envelope&, const PeerReplier&) {}))
  {
    mSettings.mBox = BoxName("entry");
    mSettings.mLongRequests.mMinTarget = Millis(500);
    mSnapshot->mSerial = 1;
    auto& service = mSnapshot->mServices[ServiceName("ledger")];
    service.mSpec.mName = ServiceName("ledger");
    for (int i = 0; i < aServers; ++i) {
      const BoxName box("box-" + std::to_string(i));
      mSnapshot->mBoxes[box] = { .mName = box, .mHomeAddress = kHomeAddress };
      service.mServers.push_back({ .mName = Server(i),
                                   .mService = ServiceName("ledger"),
                                   .mBox = box,
                                   .mSlots = 10 });
    }
    mRoute.mName = "r";
    SetTarget(Millis(5000));
  }

  void SetTarget(Millis aTarget)
  {
    mRoute.mTarget = aTarget;
    mSnapshot->mServices.begin()->second.mLongestTarget = aTarget;
  }

  // Makes the entry prefer all other servers for some seconds.
  void Avoid(int aIndex)
  {
    const auto& server =
      mSnapshot->mServices.begin()->second.mServers.at(aIndex);
    mView.OnRejected(
      server, RejectReason::kOverloaded, kRetryAfter, false, Now());
  }

  CallerAnswer Run(bool aRepeatable = false)
  {
    RequestContext context{ .mSettings = mSettings,
                            .mNames = mNames,
                            .mSnapshot = mSnapshot,
                            .mArrival = Now(),
                            .mHttp = { .mMethod = "POST", .mTarget = "/" },
                            .mCancelled = mCaller,
                            .mRequestId = "request",
                            .mRoute = &mRoute,
                            .mService =
                              mSnapshot->FindService(ServiceName("ledger")),
                            .mDeadline = Now() + kBound * 2,
                            .mRepeatable = aRepeatable };
    return *AttemptFilter({ mView,
                            mDispatcher,
                            mMetrics,
                            mAttemptIdGenerator,
                            mPool,
                            mGate,
                            mCrashes,
                            mShutdownDeadline })
              .Apply(context);
  }

  // The requests that homes received, in order.
  std::vector<HomeRequest> Received() const
  {
    const std::lock_guard lock(mMutex);
    return mReceived;
  }

  int LastResorts() const
  {
    const auto received = Received();
    return static_cast<int>(
      std::count_if(received.begin(), received.end(), [](const auto& aEach) {
        return aEach.mLastResort;
      }));
  }

  void AwaitReceived(std::size_t aCount) const
  {
    const auto bound = Now() + kBound;
    while (Received().size() < aCount && Now() < bound) {
      std::this_thread::sleep_for(kPoll);
    }
    CHECK(Received().size() >= aCount);
  }

  Settings mSettings;
  CancelFlag mCaller = Cancellation::Make();
  ShutdownDeadline mShutdownDeadline;

private:
  HttpReply ServeHome(HttpCall& aCall)
  {
    const auto request =
      DecodeHomeRequest(std::move(aCall.mHttp), aCall.mArrival);
    if (!request) {
      return { .mAnswer = { .mStatus = 400 } };
    }
    int asked = 0;
    {
      const std::lock_guard lock(mMutex);
      for (const auto& each : mReceived) {
        asked += each.mServer == request->mServer ? 1 : 0;
      }
      mReceived.push_back(*request);
    }
    const auto answer = mBehaviour(*request, asked);
    HttpReply reply{ .mAnswer = answer.mHttp };
    reply.mAnswer.mStatus = answer.mOutcome == Outcome::kRun ? 200 : 503;
    reply.mAnswer.mHeaders =
      EncodeHomeAnswer(answer, request->mAttempt, Incarnation(1), Now());
    return reply;
  }

  const HomeBehaviour mBehaviour;
  mutable std::mutex mMutex;
  std::vector<HomeRequest> mReceived;
  const EdgeHeaders mNames;
  Metrics mMetrics;
  CrashMonitor mCrashes;
  std::unique_ptr<HttpListener> mHomes;
  std::unique_ptr<PeerTransport> mTransport;
  std::shared_ptr<Snapshot> mSnapshot = std::make_shared<Snapshot>();
  RouteSpec mRoute;
  EntryView mView{ BoxName("entry"), AvailabilityZone("entry"), {} };
  Home mHome{ BoxName("entry"), Incarnation(1),    {},
              RetrySettings{},  mShutdownDeadline, mCrashes };
  Dispatcher mDispatcher{ mSettings,   mHome,    mView,
                          *mTransport, mMetrics, mShutdownDeadline };
  AttemptIdGenerator mAttemptIdGenerator{ BoxName("entry"), Incarnation(1) };
  AttemptPool mPool;
  WorkspaceGate mGate;
};

constexpr int kDemotedServers = 8;
constexpr int kWellServers = 30;

// The first servers are demoted, which the entry does not know yet; it avoids
// the others, so that it asks the demoted ones first.
HomeAnswer
DemoteFirst(const HomeRequest& aRequest, int /*aAsked*/)
{
  for (int i = 0; i < kDemotedServers; ++i) {
    if (aRequest.mServer == Server(i) && !aRequest.mLastResort) {
      return Rejected(RejectReason::kDemoted);
    }
  }
  return kServed;
}

void
AvoidWellServers(EntryFixture& aFixture)
{
  for (int i = kDemotedServers; i < kDemotedServers + kWellServers; ++i) {
    aFixture.Avoid(i);
  }
}

} // namespace

TEST_CASE("A long request is not sent to a demoted server while others are "
          "well")
{
  // Guards against four rejections as demoted leading to the last resort, which
  // loses most unrepeatable requests.
  EntryFixture fixture(kDemotedServers + kWellServers, DemoteFirst);
  AvoidWellServers(fixture);
  CHECK(fixture.Run().mStatus == 200);
  CHECK(fixture.LastResorts() == 0);
  CHECK(fixture.Received().size() == kDemotedServers + 1);
}

TEST_CASE("Without the setting four rejections lead to the last resort")
{
  EntryFixture fixture(kDemotedServers + kWellServers, DemoteFirst);
  fixture.mSettings.mLongRequests.mMinTarget = std::nullopt;
  AvoidWellServers(fixture);
  CHECK(fixture.Run().mStatus == 200);
  CHECK(fixture.LastResorts() == 1);
  CHECK(fixture.Received().size() == 5);
}

TEST_CASE("A repeated round asks homes that the entry knows as demoted")
{
  // Guards against rounds that ask nobody, as an entry takes a server for
  // demoted for up to 5 s after a rejection.
  constexpr int kServers = 3;
  EntryFixture fixture(kServers, [](const HomeRequest&, int aAsked) {
    return aAsked == 0 ? Rejected(RejectReason::kDemoted) : kServed;
  });
  fixture.SetTarget(kEndlessTarget);
  CHECK(fixture.Run().mStatus == 200);
  CHECK(fixture.LastResorts() == 0);
  CHECK(fixture.Received().size() == kServers + 1);
}

TEST_CASE("Repeated rounds ask the homes that were not asked before")
{
  // Guards against asking the same four homes in each round.
  constexpr int kServers = 12;
  constexpr int kBusy = 8; // of the homes, those that are asked first
  std::atomic<int> requests{ 0 };
  EntryFixture fixture(kServers, [&](const HomeRequest&, int aAsked) {
    return requests++ < kBusy || aAsked > 0
             ? Rejected(RejectReason::kOverloaded)
             : kServed;
  });
  fixture.SetTarget(kEndlessTarget);
  CHECK(fixture.Run().mStatus == 200);
  CHECK(fixture.Received().size() == kBusy + 1);
}

TEST_CASE("The last resort follows the waits and prefers silent servers")
{
  constexpr int kServers = 8;
  EntryFixture fixture(kServers, [](const HomeRequest& aRequest, int) {
    if (aRequest.mLastResort) {
      return kServed;
    }
    auto rejected = Rejected(RejectReason::kDemoted);
    rejected.mSilent = aRequest.mServer == Server(2);
    return rejected;
  });
  fixture.SetTarget(Millis(1000));
  CHECK(fixture.Run().mStatus == 200);
  CHECK(fixture.LastResorts() == 1);
  const auto received = fixture.Received();
  CHECK(received.back().mServer == Server(2));
  CHECK(received.size() >= kServers + 1);
}

namespace {

HomeAnswer
OnlyLastResort(const HomeRequest& aRequest, int /*aAsked*/)
{
  return aRequest.mLastResort ? kServed : Rejected(RejectReason::kDemoted);
}

} // namespace

TEST_CASE("A wait ends when the caller leaves")
{
  EntryFixture fixture(2, OnlyLastResort);
  fixture.SetTarget(kEndlessTarget);
  auto answer =
    std::async(std::launch::async, [&] { return fixture.Run().mStatus; });
  fixture.AwaitReceived(6); // three rounds
  fixture.mCaller->Cancel();
  REQUIRE(answer.wait_for(kBound) == std::future_status::ready);
  CHECK(fixture.LastResorts() == 0);
}

TEST_CASE("A planned stop ends the waits, and the last resort follows")
{
  EntryFixture fixture(2, OnlyLastResort);
  fixture.SetTarget(kEndlessTarget);
  auto answer =
    std::async(std::launch::async, [&] { return fixture.Run().mStatus; });
  fixture.AwaitReceived(6);
  fixture.mShutdownDeadline.Set(Now() + kBound * 2);
  REQUIRE(answer.wait_for(kBound) == std::future_status::ready);
  CHECK(answer.get() == 200);
  CHECK(fixture.LastResorts() == 1);
}

TEST_CASE("Neither repeatable nor other requests wait")
{
  for (const bool repeatable : { false, true }) {
    for (const bool isLong : { false, true }) {
      if (isLong && !repeatable) {
        continue;
      }
      CAPTURE(repeatable);
      CAPTURE(isLong);
      EntryFixture fixture(2, OnlyLastResort);
      fixture.SetTarget(kEndlessTarget);
      if (!isLong) {
        fixture.mSettings.mLongRequests.mMinTarget = std::nullopt;
      }
      CHECK(fixture.Run(repeatable).mStatus == 200);
      CHECK(fixture.LastResorts() == 1);
      CHECK(fixture.Received().size() == 3);
      CHECK(fixture.Received().back().mLongTarget.has_value() == isLong);
    }
  }
}

TEST_CASE("A request without any server does not wait")
{
  EntryFixture fixture(0, OnlyLastResort);
  fixture.SetTarget(kEndlessTarget);
  const auto answer = fixture.Run();
  CHECK(answer.mStatus == 503);
  CHECK(answer.mReason == "no-server");
}

TEST_CASE("A request that needs a retry does not wait for one")
{
  // Guards against rounds of attempts that all homes reject: while every server
  // sheds load, retries are spent as soon as they accrue.
  constexpr int kServers = 20;
  std::atomic<int> requests{ 0 };
  EntryFixture fixture(kServers, [&](const HomeRequest&, int) {
    return Rejected(requests++ == 0 ? RejectReason::kServerBusy
                                    : RejectReason::kNoRetries);
  });
  fixture.SetTarget(kEndlessTarget);
  CHECK(fixture.Run().mStatus == 503);
  CHECK(fixture.Received().size() == 5);
}
