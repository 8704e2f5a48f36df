#include "porttiller/entry/AttemptFilter.h"

#include "porttiller/http/HttpListener.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kServerAddress = "127.0.0.1:22985";
constexpr const char* kControlAddress = "127.0.0.1:22986";
constexpr Millis kPoll{ 2 };
constexpr Millis kBound{ 20'000 };
constexpr Millis kLatencyP90{ 50 };
constexpr Millis kTarget{ 8'000 };
constexpr int kServers = 8;
const BoxName kBox("box");
const ServiceName kService("ledger");
const EdgeHeaders kNames;

// A box with servers that hold each request until mRelease is set, and then
// answer 500. Unless aRetryBurst is set, the service's retry budget is empty.
class Fixture
{
public:
  explicit Fixture(std::optional<Millis> aMinTarget, int aRetryBurst = 0)
    : mSettings(MakeSettings(aMinTarget))
    , mListener(*HttpListener::Make(
        { .mAddress = kServerAddress },
        [this](const HttpCall& aCall) { return Serve(aCall); }))
    , mTransport(*PeerTransport::Make({ .mBindAddress = kControlAddress,
                                        .mBox = kBox,
                                        .mIncarnation = Incarnation(1) },
                                      [](const auto&, const auto&) {}))
    , mSnapshot(MakeSnapshot(aRetryBurst))
  {
    mHome.Apply(*mSnapshot);
    mView.OnLatencyP90(kService, mRoute.mName, kLatencyP90);
  }

  ~Fixture() { mRelease = true; }

  // A request that arrived long enough ago to be hedged as soon as its attempt
  // has run for the 90th percentile.
  std::future<CallerAnswer> Begin()
  {
    return std::async(std::launch::async, [this] {
      RequestContext context{ .mSettings = mSettings,
                              .mNames = kNames,
                              .mSnapshot = mSnapshot,
                              .mArrival = Now() - kTarget,
                              .mHttp = { .mMethod = "GET",
                                         .mTarget = "/",
                                         .mHeaders = { { "Host", "ledger" } } },
                              .mCancelled = Cancellation::Make(),
                              .mRoute = &mRoute,
                              .mService = &mSnapshot->mServices.at(kService),
                              .mDeadline = Now() + kBound,
                              .mRepeatable = true };
      return *AttemptFilter({ .mView = mView,
                              .mDispatcher = mDispatcher,
                              .mMetrics = mMetrics,
                              .mAttemptIdGenerator = mIds,
                              .mPool = mPool,
                              .mGate = mGate,
                              .mCrashes = mCrashes,
                              .mShutdownDeadline = mShutdownDeadline })
                .Apply(context);
    });
  }

  void AwaitRejectedHedges(std::uint64_t aCount) const
  {
    const auto bound = Now() + kBound;
    while (mHome.Hedges().mRejected < aCount && Now() < bound) {
      std::this_thread::sleep_for(kPoll);
    }
  }

  // Whether the entry has seen aCount rejections for lack of retries.
  bool HasSeenRejections(int aCount) const
  {
    return mMetrics.Text().find(
             "porttiller_refusals_total{reason=\"no-retries\"} " +
             std::to_string(aCount) + "\n") != std::string::npos;
  }

  std::atomic<bool> mRelease{ false };
  const Settings mSettings;
  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashes;
  Home mHome{ kBox,
              Incarnation(1),
              { .mHeaders = { .mServerDeadline = "X-Deadline" } },
              {},
              mShutdownDeadline,
              mCrashes };

private:
  static Settings MakeSettings(std::optional<Millis> aMinTarget)
  {
    Settings settings;
    settings.mBox = kBox;
    settings.mLongRequests.mMinTarget = aMinTarget;
    return settings;
  }

  static SnapshotPtr MakeSnapshot(int aRetryBurst)
  {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->mBoxes[kBox] = { .mName = kBox };
    auto& service = snapshot->mServices[kService];
    service.mSpec = { .mName = kService, .mRetryBurst = aRetryBurst };
    service.mLongestTarget = kTarget;
    for (int i = 0; i < kServers; ++i) {
      service.mServers.push_back(
        { .mName = BackendServerName("s" + std::to_string(i)),
          .mService = kService,
          .mBox = kBox,
          .mAddress = kServerAddress });
    }
    return snapshot;
  }

  HttpReply Serve(const HttpCall& aCall) const
  {
    while (!mRelease && !aCall.mCancelled->IsCancelled()) {
      std::this_thread::sleep_for(kPoll);
    }
    return { .mAnswer = { .mStatus = 500 } };
  }

  std::unique_ptr<HttpListener> mListener;
  std::unique_ptr<PeerTransport> mTransport;
  Metrics mMetrics;
  EntryView mView{ kBox, AvailabilityZone("zone"), {} };
  AttemptIdGenerator mIds{ kBox, Incarnation(1) };
  WorkspaceGate mGate;
  const RouteSpec mRoute{ .mName = "route", .mTarget = kTarget };
  const SnapshotPtr mSnapshot;
  Dispatcher mDispatcher{ mSettings,   mHome,    mView,
                          *mTransport, mMetrics, mShutdownDeadline };
  AttemptPool mPool;
};

} // namespace

TEST_CASE("A withheld hedge of a long request does not go round the homes")
{
  // Guards against a hop to every home for each slow request while the budgets
  // are low, and against a failed request that has no home left to try as its
  // hedges have used up the rejections it may get.
  Fixture fixture(Millis(1000));
  auto answer = fixture.Begin();
  fixture.AwaitRejectedHedges(1);
  // Without the rule three more hedges follow within 150 ms; with it the next
  // one is due after half the target of eight seconds.
  std::this_thread::sleep_for(8 * kLatencyP90);
  CHECK(fixture.mHome.Hedges().mRejected == 1);

  fixture.mRelease = true; // the first attempt fails
  CHECK(answer.get().mStatus == 500);
  CHECK(fixture.mHome.Hedges().mRejected == 1);
  CHECK(fixture.mHome.Hedges().mAdmitted == 0);
  // The retry was tried at four homes, as if there had been no hedge.
  CHECK(fixture.HasSeenRejections(5));
}

TEST_CASE("A withheld hedge of a request that is not long is hedged as before")
{
  Fixture fixture(std::nullopt);
  auto answer = fixture.Begin();
  fixture.AwaitRejectedHedges(4);
  std::this_thread::sleep_for(4 * kLatencyP90);
  fixture.mRelease = true;
  CHECK(answer.get().mStatus == 500);
  CHECK(fixture.mHome.Hedges().mRejected == 4);
  CHECK(fixture.HasSeenRejections(4));
}

TEST_CASE("A home with a full budget admits the hedge of a long request")
{
  // Guards against homes that never admit a hedge, and counts it.
  constexpr int kBurstPerServer = 4;
  Fixture fixture(Millis(1000), kBurstPerServer * kServers);
  auto answer = fixture.Begin();
  const auto bound = Now() + kBound;
  while (fixture.mHome.InFlight() < 2 && Now() < bound) {
    std::this_thread::sleep_for(kPoll);
  }
  fixture.mRelease = true;
  CHECK(answer.get().mStatus == 500);
  CHECK(fixture.mHome.Hedges().mAdmitted >= 1);
  CHECK(fixture.mHome.Hedges().mRejected == 0);
}
