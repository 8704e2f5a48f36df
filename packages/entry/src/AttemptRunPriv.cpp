#include "AttemptRunPriv.h"

#include "porttiller/entry/AttemptPool.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/hop/Random.h"
#include "porttiller/hop/RequestDigests.h"

#include <algorithm>
#include <cassert>

namespace porttiller {

namespace {

constexpr int kFirstServerErrorStatus = 500;
// Most of these are rejected by homes, which costs a round trip each but no
// work of a server.
constexpr int kMaxAttempts = 12;
// Of a long request, before it waits. One server in three may be failing at
// once, and an entry learns of most of them only by a rejection.
constexpr int kMaxLongAttempts = 16;
// A request that ran at this many crashes is not sent to another server at
// once: its caller learns that the outcome is unknown.
constexpr int kMaxCrashesForRetry = 2;
// One in this many of the requests that can fail over is sent as a trial to a
// demoted server whose trial is due. More would cost too many retries, as most
// trials fail. Fewer find a recovered server too late: such requests are rare
// with 80 boxes, and at one in four, spread over the open servers too, none of
// 17 demoted servers recovers within ten seconds.
constexpr std::uint64_t kTrialOneIn = 2;
// The entry sets no limit of its own: the homes of a service hold its retry
// budget and reject retries beyond it.
const RetrySource kUnlimitedRetries = [] { return true; };

NotRunReason
ToNotRunReason(RejectReason aRejectReason)
{
  switch (aRejectReason) {
    case RejectReason::kIncarnation:
    case RejectReason::kExpired:
      // The rejection carries the home's incarnation and clock.
      return NotRunReason::kRetrySameServer;
    case RejectReason::kDemoted:
      return NotRunReason::kDemoted;
    case RejectReason::kOverloaded:
    case RejectReason::kNoRetries:
    case RejectReason::kLimited:
      return NotRunReason::kNoCapacity;
    case RejectReason::kServerBusy:
      return NotRunReason::kOverloaded;
    default:
      return NotRunReason::kTryElsewhere;
  }
}

} // namespace

AttemptRun::AttemptRun(const AttemptDependencies& aDependencies,
                       RequestContext& aContext)
  : mDependencies(aDependencies)
  , mContext(aContext)
  , mLongTarget(LongTargetOf(aContext.mRoute->mTarget,
                             aContext.mService->mLongestTarget,
                             aContext.mSettings.mLongRequests))
  , mWait(MakeWait())
  , mPlan(aContext.mRepeatable,
          { .mMaxAttempts = mLongTarget ? kMaxLongAttempts : kMaxAttempts,
            .mMaxServers = aContext.mRoute->mMaxAttempts,
            .mIsLong = mLongTarget.has_value(),
            .mRepeatsRounds = mWait.has_value() })
  , mResults(std::make_shared<AttemptResults>())
  , mCallerWatch(OnCancel(aContext.mCancelled,
                          [results = mResults] { results->Interrupt(); }))
  , mHeaders(ServerHeaders())
{
  mContext.mDigest = DigestOf(mContext.mHttp, mHeaders, mContext.mNames);
}

CallerAnswer
AttemptRun::Run()
{
  while (!mDone && MayContinue()) {
    if (mRunning.empty() && (mStopped || !SendNext())) {
      if (!StartNextRound()) {
        break;
      }
      continue;
    }
    AwaitResult();
  }
  CancelRunning();
  LogWait();
  return mAnswer ? *mAnswer : MakeFailureAnswer();
}

bool
AttemptRun::MayContinue() const
{
  return Now() < mContext.mDeadline && !mContext.mCancelled->IsCancelled();
}

// Whether no attempt may be sent because of the servers that crashed while they
// ran the request.
bool
AttemptRun::StopsForCrashes()
{
  const auto state = mDependencies.mCrashes.StateOf(mContext.mDigest);
  const bool reached = mPlan.MayHaveReachedServer();
  switch (state.mVerdict) {
    case CrashVerdict::kClear:
      return false;
    case CrashVerdict::kSuspect:
      if (!reached || state.mCrashes < kMaxCrashesForRetry) {
        return false;
      }
      break;
    case CrashVerdict::kTrial:
      if (!reached) {
        LogCrashDecision("trial", state);
        return false;
      }
      break;
    case CrashVerdict::kQuarantined:
      if (!reached) {
        mReason = std::string(ToText(RejectReason::kQuarantined));
      }
      mRetryAfter = state.mRetryAfter;
      break;
  }
  LogCrashDecision("withheld", state);
  return true;
}

// Returns false when no server is left to try in this round.
bool
AttemptRun::SendNext()
{
  if (StopsForCrashes()) {
    mStopped = true;
    return false;
  }
  while (mPlan.MayAttempt()) {
    const bool canFailOver =
      mPlan.MayFailOverNext() && Random() % kTrialOneIn == 0;
    const auto choice = mDependencies.mView.Choose(
      *mContext.mSnapshot,
      *mContext.mService,
      mPlan,
      { .mCanFailOver = canFailOver,
        .mLargeResponses = mContext.mRoute->mLargeResponses },
      Now());
    if (choice.mServer != nullptr) {
      if (mPlan.Attempts() > 0) {
        mDependencies.mMetrics.Retries().Increment();
      }
      SendTo(*choice.mServer, canFailOver);
      return true;
    }
    if (!mPlan.AllowMore(choice.mDemotedLeft)) {
      return false;
    }
  }
  return false;
}

// A request that is not repeatable is sent on this thread, as there is nothing
// to do until its result. A repeatable one is, too, when the pool has no free
// thread; it is then not hedged.
void
AttemptRun::SendTo(const BackendServerSpec& aServer, bool aCanFailOver)
{
  RunningAttempt attempt{ .mId = mDependencies.mAttemptIdGenerator.Next(),
                          .mServer = &aServer,
                          .mCanFailOver = aCanFailOver,
                          .mIsHedge = !mRunning.empty() };
  attempt.mCancelled =
    mContext.mRepeatable ? Cancellation::Make() : mContext.mCancelled;
  auto request = MakeRequest(attempt);
  mPlan.OnSent(aServer.mName);
  mRunning.push_back(attempt);
  auto send = [view = &mDependencies.mView,
               dispatcher = &mDependencies.mDispatcher,
               snapshot = mContext.mSnapshot,
               box = mContext.mSnapshot->FindBox(aServer.mBox),
               server = &aServer,
               request = std::move(request),
               results = mResults] {
    view->OnSent(*server);
    auto result = dispatcher->Send(*box, request);
    view->OnEnded(*server);
    results->Put({ request.mAttempt, std::move(result) });
  };
  mHedgeAt = mContext.mRepeatable ? Now() + HedgeDelay() : TimePoint::max();
  if (!mContext.mRepeatable || !mDependencies.mPool.Start(send)) {
    send();
  }
}

Micros
AttemptRun::HedgeDelay(bool aWithheld) const
{
  return mDependencies.mView.HedgeDelay(
    mContext.mService->mSpec.mName,
    mContext.mRoute->mName,
    { .mTotalTime = mContext.mDeadline - mContext.mArrival,
      .mElapsed = Now() - mContext.mArrival,
      .mLongTarget = mLongTarget,
      .mWithheld = aWithheld });
}

// Called when the running attempt takes unusually long: sends a hedged attempt
// to an open server, if there is one and the plan allows it.
void
AttemptRun::Hedge()
{
  mHedgeAt = Now() + HedgeDelay();
  const auto crashes = mDependencies.mCrashes.StateOf(mContext.mDigest);
  if (crashes.mVerdict != CrashVerdict::kClear ||
      !mPlan.MayHedge(kUnlimitedRetries)) {
    return;
  }
  const auto* server =
    mDependencies.mView
      .Choose(*mContext.mSnapshot,
              *mContext.mService,
              mPlan,
              { .mCanFailOver = false,
                .mOpenOnly = true,
                .mLargeResponses = mContext.mRoute->mLargeResponses },
              Now())
      .mServer;
  if (server == nullptr) {
    return;
  }
  mDependencies.mMetrics.HedgedAttempts().Increment();
  LogHedge(*server);
  SendTo(*server, false);
}

// Processes one result or starts a hedged attempt. Returns at once when the
// caller disconnects.
void
AttemptRun::AwaitResult()
{
  const auto start = Now();
  const auto until = std::min<TimePoint>(
    { mContext.mDeadline, mHedgeAt, start + ShutdownDeadline::kCheckInterval });
  auto ended = mResults->Await(until);
  mContext.mHomeTime += Now() - start;
  if (ended) {
    ProcessResult(std::move(*ended));
  } else if (Now() >= mHedgeAt) {
    Hedge();
  }
}

void
AttemptRun::ProcessResult(EndedAttempt aEnded)
{
  const auto it = std::find_if(
    mRunning.begin(), mRunning.end(), [&](const RunningAttempt& aRunning) {
      return aRunning.mId == aEnded.mId;
    });
  assert(it != mRunning.end());
  mEnded = *it;
  mRunning.erase(it);
  std::visit(*this, aEnded.mResult);
}

// Nobody waits for the results of the remaining attempts.
void
AttemptRun::CancelRunning()
{
  for (const auto& attempt : mRunning) {
    mToken = TokenOf(attempt);
    attempt.mCancelled->Cancel();
  }
}

HomeRequest
AttemptRun::MakeRequest(const RunningAttempt& aAttempt) const
{
  HomeRequest request{
    .mAttempt = aAttempt.mId,
    .mServer = aAttempt.mServer->mName,
    .mPriority = mContext.mPriority,
    .mRepeatable = mContext.mRepeatable,
    .mCanFailOver = aAttempt.mCanFailOver,
    .mLastResort = mPlan.LastResort(),
    .mIsRetry = mPlan.MayHaveReachedServer(),
    .mIsHedge = aAttempt.mIsHedge,
    .mServiceErrorRate =
      mDependencies.mView.ErrorRate(mContext.mService->mSpec.mName),
    .mDeadline = mContext.mDeadline,
    .mRequestKey = mContext.mRequestKey,
    .mRoute = mContext.mRoute->mName,
    .mRequestId = mContext.mRequestId,
    .mDigest = mContext.mDigest,
    .mCrashes = mDependencies.mCrashes.EventsOf(mContext.mDigest),
    .mLimit = mDependencies.mView.LimitOf(*aAttempt.mServer, Now()),
    .mLongTarget = mLongTarget,
    .mCancelled = aAttempt.mCancelled
  };
  request.mHttp = mContext.mHttp;
  request.mHttp.mHeaders = mHeaders;
  return request;
}

// Headers for the server, without those that the home sets for each attempt.
HttpHeaders
AttemptRun::ServerHeaders() const
{
  auto headers = WithoutHopHeaders(mContext.mHttp.mHeaders);
  const auto& names = mContext.mNames;
  RemoveHeader(headers, names.mServerDeadline);
  if (mContext.mWorkspace) {
    headers.push_back({ names.mWorkspace, mContext.mWorkspace->mName.Value() });
  }
  if (!names.mExpectedServer.empty()) {
    RemoveHeader(headers, names.mExpectedServer);
  }
  if (!names.mCallerService.empty()) {
    // Overwrites the sender's value: the request began on this box.
    RemoveHeader(headers, names.mCallerService);
    headers.push_back(
      { names.mCallerService, mContext.mSettings.mService.Value() });
  }
  return headers;
}

void
AttemptRun::operator()(AttemptAnswered& aAnswered)
{
  const bool failed = aAnswered.mHttp.mStatus >= kFirstServerErrorStatus;
  mDependencies.mView.OnAnswered(mContext.mService->mSpec.mName, failed);
  mDependencies.mView.OnLoad(*mEnded.mServer, aAnswered.mLoad, Now());
  if (aAnswered.mDemand) {
    mDependencies.mView.OnDemand(
      *mEnded.mServer, *aAnswered.mDemand, DemandSource::kAnswer, Now());
  }
  mDependencies.mView.OnLatencyP90(mContext.mService->mSpec.mName,
                                   mContext.mRoute->mName,
                                   aAnswered.mLatencyP90);
  mAnswer = ToCallerAnswer(std::move(aAnswered.mHttp));
  mPlan.OnAnswered(failed, kUnlimitedRetries);
  mDone = !failed;
}

void
AttemptRun::operator()(const AttemptNotRun& aNotRun)
{
  mDependencies.mMetrics.CountRejection(aNotRun.mRejectReason);
  mDependencies.mView.OnRejected(*mEnded.mServer,
                                 aNotRun.mRejectReason,
                                 aNotRun.mRetryAfter,
                                 mEnded.mCanFailOver,
                                 Now(),
                                 aNotRun.mSilent);
  mReason = std::string(ToText(aNotRun.mRejectReason));
  LogFailedAttempt(mReason);
  if (aNotRun.mRejectReason == RejectReason::kQuarantined) {
    // The home knows of a crash that this entry has not learned of.
    mStopped = true;
    mRetryAfter = aNotRun.mRetryAfter;
  }
  mDependencies.mView.OnDemand(
    *mEnded.mServer, aNotRun.mDemand, DemandSource::kRejection, Now());
  if (aNotRun.mRejectReason == RejectReason::kOverloaded ||
      aNotRun.mRejectReason == RejectReason::kLimited) {
    mRetryAfter =
      std::min(mRetryAfter.value_or(aNotRun.mRetryAfter), aNotRun.mRetryAfter);
  }
  const bool hedgeWithheld = IsWithheldHedge(aNotRun);
  mPlan.OnNotRun(mEnded.mServer->mName,
                 hedgeWithheld ? NotRunReason::kRetrySameServer
                               : ToNotRunReason(aNotRun.mRejectReason),
                 kUnlimitedRetries);
  if (hedgeWithheld) {
    mHedgeAt = Now() + HedgeDelay(true);
  } else if (!mRunning.empty() &&
             aNotRun.mRejectReason != RejectReason::kNoRetries) {
    mHedgeAt = Now(); // this attempt reached no server; hedge again
  }
}

// A hedge of a long request needs a fuller budget than a retry of a failed one.
// Its rejection for lack of retries is no evidence that the home would reject
// the retry that follows if the first attempt fails, and does not count towards
// the rejected attempts that end the request.
bool
AttemptRun::IsWithheldHedge(const AttemptNotRun& aNotRun) const
{
  return mEnded.mIsHedge && aNotRun.mRejectReason == RejectReason::kNoRetries &&
         mLongTarget;
}

void
AttemptRun::operator()(const AttemptUnknown& aUnknown)
{
  mReason = aUnknown.mReason;
  LogFailedAttempt(mReason);
  mToken = TokenOf(mEnded);
  if (aUnknown.mCrash) {
    mDependencies.mCrashes.Learn(
      { .mDigest = mContext.mDigest, .mEvents = { *aUnknown.mCrash } },
      CrashMonitor::Source::kHop);
  }
  mPlan.OnUnknown(kUnlimitedRetries);
}

} // namespace porttiller
