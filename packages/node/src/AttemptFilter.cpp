#include "porttiller/node/AttemptFilter.h"

#include "porttiller/node/HopHeaders.h"
#include "porttiller/node/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kServerErrors = 500;
// Most of them are homes that refuse, which costs a trip and no server.
constexpr int kMaxAttempts = 12;
constexpr Millis kDefaultRetryAfter{ 500 };
constexpr Millis kUnknownRetryAfter{ 1000 };

// "<home box>/<home incarnation>/<attempt id>"
std::string
MakeToken(const BoxName& aBox, Incarnation aLife, const AttemptId& aAttempt)
{
  return AttemptId(aBox, aLife, 0).ToString() + "/" + aAttempt.ToString();
}

struct Token
{
  BoxName mBox;
  Incarnation mLife;
  AttemptId mAttempt;
};

std::optional<Token>
ParseToken(const std::string& aText)
{
  std::size_t slash = std::string::npos;
  for (int i = 0; i < 3; ++i) {
    slash = aText.find('/', slash == std::string::npos ? 0 : slash + 1);
    if (slash == std::string::npos) {
      return std::nullopt;
    }
  }
  const auto home = AttemptId::Parse(aText.substr(0, slash));
  const auto attempt = AttemptId::Parse(aText.substr(slash + 1));
  if (!home || !attempt) {
    return std::nullopt;
  }
  return Token{ home->Box(), home->BoxIncarnation(), *attempt };
}

CallerAnswer
PassOn(HttpAnswer aHttp)
{
  return { .mStatus = aHttp.mStatus,
           .mHeaders = WithoutHopHeaders(aHttp.mHeaders),
           .mBody = std::move(aHttp.mBody),
           .mOutcome = Outcome::kRun };
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
    case Refusal::kServerBusy:
      return Setback::kOverloaded;
    default:
      return Setback::kElsewhere;
  }
}

// One request's attempts. Lives on the stack of the thread that serves it.
class AttemptRun
{
public:
  AttemptRun(const AttemptServices& aServices, RequestContext& aContext)
    : mServices(aServices)
    , mContext(aContext)
    , mPlan(aContext.mRepeatable,
            { .mMaxAttempts = kMaxAttempts,
              .mMaxServers = aContext.mRoute->mMaxAttempts })
  {
  }

  CallerAnswer Run();

  // Each takes the result of one attempt.
  void operator()(AttemptAnswered& aAnswered);
  void operator()(const AttemptNotRun& aNotRun);
  void operator()(const AttemptUnknown& aUnknown);

private:
  AttemptResult Attempt(const BoxSpec& aBox);
  HomeRequest MakeRequest() const;
  HttpHeaders ServerHeaders() const;
  void LogAttempt(const std::string& aResult) const;
  RetrySource Retry() const;
  CallerAnswer GiveUp() const;

  const AttemptServices& mServices;
  RequestContext& mContext;
  AttemptPlan mPlan;
  const BackendServerSpec* mServer = nullptr;
  bool mMayFail = false; // the attempt at hand; its retry can be paid
  AttemptId mAttempt;
  std::string mReason = "no-server";
  std::string mToken;
  std::optional<Millis> mRetryAfter;
  std::optional<CallerAnswer> mAnswer;
};

CallerAnswer
AttemptRun::Run()
{
  mServices.mView.OnFirstAttempt(
    mContext.mService->mSpec, mContext.mSnapshot->mBoxes.size(), Now());
  while (Now() < mContext.mDeadline && !*mContext.mCancelled &&
         mPlan.MayAttempt()) {
    mMayFail = mPlan.MayFailNext() &&
               mServices.mView.AffordsTrial(mContext.mService->mSpec.mName);
    mServer = mServices.mView.Choose(
      *mContext.mSnapshot, *mContext.mService, mPlan, mMayFail, Now());
    if (mServer == nullptr) {
      if (mPlan.Widen()) {
        continue;
      }
      break;
    }
    if (mPlan.Attempts() > 0) {
      mServices.mMetrics.Retries().Increment();
    }
    auto result = Attempt(*mContext.mSnapshot->FindBox(mServer->mBox));
    std::visit(*this, result);
  }
  return mAnswer ? *mAnswer : GiveUp();
}

RetrySource
AttemptRun::Retry() const
{
  return
    [this] { return mServices.mView.TryRetry(mContext.mService->mSpec.mName); };
}

HomeRequest
AttemptRun::MakeRequest() const
{
  HomeRequest request{ .mAttempt = mAttempt,
                       .mServer = mServer->mName,
                       .mPriority = mContext.mRoute->mPriority,
                       .mRepeatable = mContext.mRepeatable,
                       .mMayFail = mMayFail,
                       .mLastResort = mPlan.LastResort(),
                       .mDeadline = mContext.mDeadline,
                       .mRequestKey = mContext.mRequestKey,
                       .mRoute = mContext.mRoute->mName,
                       .mRequestId = mContext.mRequestId,
                       .mCancelled = mContext.mCancelled };
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

AttemptResult
AttemptRun::Attempt(const BoxSpec& aBox)
{
  mAttempt = mServices.mNamer.Next();
  mPlan.OnSent(mServer->mName);
  mServices.mView.OnSent(*mServer);
  const auto start = Now();
  auto result = mServices.mDispatcher.Send(
    aBox, MakeRequest(), [this] { return mPlan.MayAbandon(Retry()); });
  mContext.mHomeTime += Now() - start;
  mServices.mView.OnEnded(*mServer);
  return result;
}

void
AttemptRun::operator()(AttemptAnswered& aAnswered)
{
  const bool failed = aAnswered.mHttp.mStatus >= kServerErrors;
  mServices.mView.OnLoad(*mServer, aAnswered.mLoad, Now());
  mAnswer = PassOn(std::move(aAnswered.mHttp));
  mPlan.OnAnswered(failed, Retry());
}

void
AttemptRun::operator()(const AttemptNotRun& aNotRun)
{
  mServices.mMetrics.CountRefusal(aNotRun.mRefusal);
  mServices.mView.OnRefused(
    *mServer, aNotRun.mRefusal, aNotRun.mRetryAfter, mMayFail, Now());
  mReason = std::string(ToText(aNotRun.mRefusal));
  LogAttempt(mReason);
  if (aNotRun.mRefusal == Refusal::kOverloaded) {
    mRetryAfter =
      std::min(mRetryAfter.value_or(aNotRun.mRetryAfter), aNotRun.mRetryAfter);
  }
  mPlan.OnNotRun(ToSetback(aNotRun.mRefusal), Retry());
}

void
AttemptRun::operator()(const AttemptUnknown& aUnknown)
{
  mReason = aUnknown.mReason;
  LogAttempt(mReason);
  const auto life = mServices.mView.LifeOf(mServer->mBox).mIncarnation;
  mToken = MakeToken(mServer->mBox, life, mAttempt);
  mPlan.OnUnknown(Retry());
}

void
AttemptRun::LogAttempt(const std::string& aResult) const
{
  const auto left =
    std::chrono::duration_cast<Millis>(mContext.mDeadline - Now());
  LogLine(LogLevel::kInfo, "attempt_failed")
    .With("request", mContext.mRequestId)
    .With("attempt", mAttempt.ToString())
    .With("number", mPlan.Attempts())
    .With("server", mServer->mName.Value())
    .With("home", mServer->mBox.Value())
    .With("reason", aResult)
    .With("repeatable", mContext.mRepeatable ? "yes" : "no")
    .With("left_ms", left.count());
}

CallerAnswer
AttemptRun::GiveUp() const
{
  if (mPlan.OutcomeWithoutAnswer() == Outcome::kUnknown) {
    auto answer = MakeProxyAnswer(kGatewayTimeout, Outcome::kUnknown, mReason);
    answer.mToken = mToken;
    answer.mRetryAfter = kUnknownRetryAfter;
    return answer;
  }
  auto answer = MakeProxyAnswer(kUnavailable, Outcome::kNotRun, mReason);
  answer.mRetryAfter = mRetryAfter.value_or(kDefaultRetryAfter);
  return answer;
}

} // namespace

AttemptNamer::AttemptNamer(BoxName aBox, Incarnation aIncarnation)
  : mBox(std::move(aBox))
  , mIncarnation(aIncarnation)
{
}

AttemptId
AttemptNamer::Next()
{
  return { mBox, mIncarnation, mNext.fetch_add(1) };
}

std::optional<CallerAnswer>
AttemptFilter::Apply(RequestContext& aContext) const
{
  return AttemptRun(mServices, aContext).Run();
}

std::optional<CallerAnswer>
TokenFilter::Apply(RequestContext& aContext) const
{
  if (aContext.mToken.empty()) {
    return std::nullopt;
  }
  const auto token = ParseToken(aContext.mToken);
  if (!token) {
    return MakeProxyAnswer(kBadRequest, Outcome::kNotRun, "bad-token");
  }
  AttemptFate fate;
  if (const auto* box = aContext.mSnapshot->FindBox(token->mBox)) {
    fate = mServices.mDispatcher.Revoke(
      *box, token->mLife, token->mAttempt, aContext.mRequestKey);
  }
  if (fate.mState == AttemptState::kNotRun) {
    return std::nullopt; // now it may be tried anew
  }
  if (fate.mAnswer) {
    return PassOn(
      { .mStatus = fate.mAnswer->mStatus,
        .mHeaders = { { "Content-Type", fate.mAnswer->mContentType } },
        .mBody = fate.mAnswer->mBody });
  }
  const bool running = fate.mState == AttemptState::kRunning;
  auto answer = MakeProxyAnswer(
    kBadGateway, Outcome::kUnknown, running ? "still-running" : "forgotten");
  if (running) {
    answer.mToken = aContext.mToken;
    answer.mRetryAfter = kUnknownRetryAfter;
  }
  return answer;
}

} // namespace porttiller
