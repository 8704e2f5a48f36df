#include "AttemptRunPriv.h"

#include "porttiller/entry/AttemptPool.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cassert>

namespace porttiller {

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kServerErrors = 500;
// Most of them are homes that refuse, which costs a trip and no server.
constexpr int kMaxAttempts = 12;
constexpr Millis kDefaultRetryAfter{ 500 };
constexpr Millis kUnknownRetryAfter{ 1000 };
// Of the requests that may be repeated, one in so many is a trial where one is
// due: most trials fail and cost a retry. At 80 boxes such requests are few,
// and with one in four, mixed among the open servers, none of 17 demoted
// servers was found well again in ten seconds.
constexpr std::uint64_t kScoutOneIn = 2;
// The homes of a service hold its budget and refuse repeats beyond it.
const RetrySource kHomesDecide = [] { return true; };

// "<home box>/<home incarnation>/<attempt id>"
std::string
MakeToken(const BoxName& aBox, Incarnation aLife, const AttemptId& aAttempt)
{
  return AttemptId(aBox, aLife, 0).ToString() + "/" + aAttempt.ToString();
}

Setback
ToSetback(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::kIncarnation:
    case Refusal::kExpired:
      // The refusal told the home's life and clock.
      return Setback::kSameAgain;
    case Refusal::kDemoted:
      return Setback::kDemoted;
    case Refusal::kOverloaded:
    case Refusal::kNoRetries:
      return Setback::kFull;
    case Refusal::kServerBusy:
      return Setback::kOverloaded;
    default:
      return Setback::kElsewhere;
  }
}

} // namespace

void
AttemptResults::Put(EndedAttempt aEnded)
{
  const std::lock_guard lock(mMutex);
  mEnded.push_back(std::move(aEnded));
  mChanged.notify_all();
}

void
AttemptResults::Interrupt()
{
  const std::lock_guard lock(mMutex);
  mInterrupted = true;
  mChanged.notify_all();
}

std::optional<EndedAttempt>
AttemptResults::Await(TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_until(
    lock, aUntil, [this] { return !mEnded.empty() || mInterrupted; });
  if (mEnded.empty()) {
    return std::nullopt;
  }
  auto ended = std::move(mEnded.front());
  mEnded.pop_front();
  return ended;
}

AttemptRun::AttemptRun(const AttemptServices& aServices,
                       RequestContext& aContext)
  : mServices(aServices)
  , mContext(aContext)
  , mPlan(aContext.mRepeatable,
          { .mMaxAttempts = kMaxAttempts,
            .mMaxServers = aContext.mRoute->mMaxAttempts })
  , mResults(std::make_shared<AttemptResults>())
  , mCallerWatch(OnCancel(aContext.mCancelled,
                          [results = mResults] { results->Interrupt(); }))
{
}

CallerAnswer
AttemptRun::Run()
{
  while (!mDone && MayGoOn()) {
    if (mRunning.empty() && !SendNext()) {
      break;
    }
    AwaitOne();
  }
  CancelRunning();
  return mAnswer ? *mAnswer : GiveUp();
}

bool
AttemptRun::MayGoOn() const
{
  return Now() < mContext.mDeadline && !mContext.mCancelled->IsCancelled();
}

// False when no server is left to be tried.
bool
AttemptRun::SendNext()
{
  while (mPlan.MayAttempt()) {
    const bool mayFail = mPlan.MayFailNext() && Random() % kScoutOneIn == 0;
    const auto choice = mServices.mView.Choose(*mContext.mSnapshot,
                                               *mContext.mService,
                                               mPlan,
                                               { .mMayFail = mayFail },
                                               Now());
    if (choice.mServer != nullptr) {
      if (mPlan.Attempts() > 0) {
        mServices.mMetrics.Retries().Increment();
      }
      SendTo(*choice.mServer, mayFail);
      return true;
    }
    if (!mPlan.Widen(choice.mDemotedLeft)) {
      return false;
    }
  }
  return false;
}

// What may run only once is sent on this thread: nothing else is done
// meanwhile. Without a thread in the pool, neither is anything else.
void
AttemptRun::SendTo(const BackendServerSpec& aServer, bool aMayFail)
{
  RunningAttempt attempt{ .mId = mServices.mNamer.Next(),
                          .mServer = &aServer,
                          .mMayFail = aMayFail };
  attempt.mCancelled =
    mContext.mRepeatable ? Cancellation::Make() : mContext.mCancelled;
  auto request = MakeRequest(attempt);
  mPlan.OnSent(aServer.mName);
  mRunning.push_back(attempt);
  auto send = [view = &mServices.mView,
               dispatcher = &mServices.mDispatcher,
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
  mRaceAt = mContext.mRepeatable ? Now() + RaceDelay() : TimePoint::max();
  if (!mContext.mRepeatable || !mServices.mPool.Start(send)) {
    send();
  }
}

Micros
AttemptRun::RaceDelay() const
{
  return mServices.mView.RaceDelay(mContext.mService->mSpec.mName,
                                   mContext.mRoute->mName,
                                   mContext.mDeadline - mContext.mArrival);
}

// The attempt that runs takes unusually long; another server may be faster.
void
AttemptRun::Race()
{
  mRaceAt = Now() + RaceDelay();
  if (!mPlan.MayRace(kHomesDecide)) {
    return;
  }
  const auto* server = mServices.mView
                         .Choose(*mContext.mSnapshot,
                                 *mContext.mService,
                                 mPlan,
                                 { .mMayFail = false, .mOpenOnly = true },
                                 Now())
                         .mServer;
  if (server == nullptr) {
    return;
  }
  mServices.mMetrics.Races().Increment();
  LogRace(*server);
  SendTo(*server, false);
}

// Takes one result, or starts a race; ends at once when the caller goes.
void
AttemptRun::AwaitOne()
{
  const auto until = std::min(mContext.mDeadline, mRaceAt);
  const auto start = Now();
  auto ended = mResults->Await(until);
  mContext.mHomeTime += Now() - start;
  if (ended) {
    Take(std::move(*ended));
  } else if (Now() >= mRaceAt) {
    Race();
  }
}

void
AttemptRun::Take(EndedAttempt aEnded)
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

// Whoever still runs has lost the race, or nobody waits for it.
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
  HomeRequest request{ .mAttempt = aAttempt.mId,
                       .mServer = aAttempt.mServer->mName,
                       .mPriority = mContext.mPriority,
                       .mRepeatable = mContext.mRepeatable,
                       .mMayFail = aAttempt.mMayFail,
                       .mLastResort = mPlan.LastResort(),
                       .mRepeat = mPlan.ReachedBefore(),
                       .mUsualErrors = mServices.mView.UsualErrors(
                         mContext.mService->mSpec.mName),
                       .mDeadline = mContext.mDeadline,
                       .mRequestKey = mContext.mRequestKey,
                       .mRoute = mContext.mRoute->mName,
                       .mRequestId = mContext.mRequestId,
                       .mCancelled = aAttempt.mCancelled };
  request.mHttp = mContext.mHttp;
  request.mHttp.mHeaders = ServerHeaders();
  return request;
}

// What goes on to the server, less what its home sets for each attempt.
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
    // Whatever the sender says: it began on this box.
    RemoveHeader(headers, names.mCallerService);
    headers.push_back(
      { names.mCallerService, mContext.mSettings.mService.Value() });
  }
  return headers;
}

void
AttemptRun::operator()(AttemptAnswered& aAnswered)
{
  const bool failed = aAnswered.mHttp.mStatus >= kServerErrors;
  mServices.mView.OnAnswered(mContext.mService->mSpec.mName, failed);
  mServices.mView.OnLoad(*mEnded.mServer, aAnswered.mLoad, Now());
  mServices.mView.OnUsualTime(mContext.mService->mSpec.mName,
                              mContext.mRoute->mName,
                              aAnswered.mUsualTime);
  mAnswer = PassOn(std::move(aAnswered.mHttp));
  mPlan.OnAnswered(failed, kHomesDecide);
  mDone = !failed;
}

void
AttemptRun::operator()(const AttemptNotRun& aNotRun)
{
  mServices.mMetrics.CountRefusal(aNotRun.mRefusal);
  mServices.mView.OnRefused(*mEnded.mServer,
                            aNotRun.mRefusal,
                            aNotRun.mRetryAfter,
                            mEnded.mMayFail,
                            Now());
  mReason = std::string(ToText(aNotRun.mRefusal));
  LogAttempt(mReason);
  if (aNotRun.mRefusal == Refusal::kOverloaded) {
    mRetryAfter =
      std::min(mRetryAfter.value_or(aNotRun.mRetryAfter), aNotRun.mRetryAfter);
  }
  mPlan.OnNotRun(
    mEnded.mServer->mName, ToSetback(aNotRun.mRefusal), kHomesDecide);
  if (!mRunning.empty() && aNotRun.mRefusal != Refusal::kNoRetries) {
    mRaceAt = Now(); // the rival never reached a server; another one may
  }
}

void
AttemptRun::operator()(const AttemptUnknown& aUnknown)
{
  mReason = aUnknown.mReason;
  LogAttempt(mReason);
  mToken = TokenOf(mEnded);
  mPlan.OnUnknown(kHomesDecide);
}

std::string
AttemptRun::TokenOf(const RunningAttempt& aAttempt) const
{
  const auto& box = aAttempt.mServer->mBox;
  return MakeToken(box, mServices.mView.LifeOf(box).mIncarnation, aAttempt.mId);
}

void
AttemptRun::LogAttempt(const std::string& aResult) const
{
  const auto left =
    std::chrono::duration_cast<Millis>(mContext.mDeadline - Now());
  LogLine(LogLevel::kInfo, "attempt_failed")
    .With("request", mContext.mRequestId)
    .With("attempt", mEnded.mId.ToString())
    .With("number", mPlan.Attempts())
    .With("server", mEnded.mServer->mName.Value())
    .With("home", mEnded.mServer->mBox.Value())
    .With("reason", aResult)
    .With("repeatable", mContext.mRepeatable ? "yes" : "no")
    .With("left_ms", left.count());
}

void
AttemptRun::LogRace(const BackendServerSpec& aServer) const
{
  const auto held =
    std::chrono::duration_cast<Millis>(Now() - mContext.mArrival);
  LogLine(LogLevel::kInfo, "attempt_raced")
    .With("request", mContext.mRequestId)
    .With("slow_attempt", mRunning.front().mId.ToString())
    .With("server", aServer.mName.Value())
    .With("home", aServer.mBox.Value())
    .With("held_ms", held.count())
    .With("usual_ms", std::chrono::duration_cast<Millis>(RaceDelay()).count());
}

CallerAnswer
AttemptRun::GiveUp() const
{
  if (mPlan.OutcomeWithoutAnswer() == Outcome::kUnknown) {
    const auto reason = mRunning.empty() ? mReason : std::string("deadline");
    auto answer = MakeProxyAnswer(kGatewayTimeout, Outcome::kUnknown, reason);
    answer.mToken = mToken;
    answer.mRetryAfter = kUnknownRetryAfter;
    return answer;
  }
  auto answer = MakeProxyAnswer(kUnavailable, Outcome::kNotRun, mReason);
  answer.mRetryAfter = mRetryAfter.value_or(kDefaultRetryAfter);
  return answer;
}

CallerAnswer
PassOn(HttpAnswer aHttp)
{
  return { .mStatus = aHttp.mStatus,
           .mHeaders = WithoutHopHeaders(aHttp.mHeaders),
           .mBody = std::move(aHttp.mBody),
           .mOutcome = Outcome::kRun };
}

} // namespace porttiller
