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
constexpr int kMaxAttempts = 6;
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
  CallerAnswer answer{ .mStatus = aHttp.mStatus,
                       .mBody = std::move(aHttp.mBody),
                       .mOutcome = Outcome::kRun };
  std::copy_if(
    aHttp.mHeaders.begin(),
    aHttp.mHeaders.end(),
    std::back_inserter(answer.mHeaders),
    [](const HttpHeader& aHeader) { return !IsHopHeader(aHeader.mName); });
  return answer;
}

HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders kept;
  std::copy_if(
    aHeaders.begin(),
    aHeaders.end(),
    std::back_inserter(kept),
    [](const HttpHeader& aHeader) { return !IsHopHeader(aHeader.mName); });
  return kept;
}

// One request's attempts. Lives on the stack of the thread that serves it.
class AttemptRun
{
public:
  AttemptRun(const AttemptServices& aServices, RequestContext& aContext)
    : mServices(aServices)
    , mContext(aContext)
  {
  }

  CallerAnswer Run();

  // Each takes the result of one attempt; true ends the request.
  bool operator()(AttemptAnswered& aAnswered);
  bool operator()(const AttemptNotRun& aNotRun);
  bool operator()(const AttemptUnknown& aUnknown);

private:
  AttemptResult Attempt(const BoxSpec& aBox);
  HomeRequest MakeRequest() const;
  bool MayMoveOn();
  void AskDemoted();
  CallerAnswer GiveUp() const;

  const AttemptServices& mServices;
  RequestContext& mContext;
  RequestProgress mProgress;
  const BackendServerSpec* mServer = nullptr;
  AttemptId mAttempt;
  bool mLastResort = false;
  bool mRetryTaken = false; // for the attempt that is being made
  bool mMaybeRun = false;
  std::string mReason = "no-server";
  std::string mToken;
  std::optional<Millis> mRetryAfter;
  std::optional<CallerAnswer> mAnswer;
};

CallerAnswer
AttemptRun::Run()
{
  const auto& spec = mContext.mService->mSpec;
  mServices.mView.OnFirstAttempt(spec);
  for (int i = 0; i < kMaxAttempts && Now() < mContext.mDeadline; ++i) {
    mServer = mServices.mView.Choose(
      *mContext.mSnapshot, *mContext.mService, mProgress, Now());
    if (mServer == nullptr && !mLastResort && !mProgress.mDemoted.empty()) {
      AskDemoted();
      continue;
    }
    if (mServer == nullptr) {
      break;
    }
    if (i > 0) {
      mServices.mMetrics.Retries().Increment();
    }
    auto result = Attempt(*mContext.mSnapshot->FindBox(mServer->mBox));
    if (std::visit(*this, result)) {
      break;
    }
  }
  return mAnswer ? *mAnswer : GiveUp();
}

void
AttemptRun::AskDemoted()
{
  mLastResort = true;
  for (const auto& server : mProgress.mDemoted) {
    mProgress.mTried.erase(server);
  }
}

HomeRequest
AttemptRun::MakeRequest() const
{
  HomeRequest request{ .mAttempt = mAttempt,
                       .mServer = mServer->mName,
                       .mPriority = mContext.mRoute->mPriority,
                       .mRepeatable = mContext.mRepeatable,
                       .mLastResort = mLastResort,
                       .mDeadline = mContext.mDeadline,
                       .mRequestKey = mContext.mRequestKey,
                       .mRoute = mContext.mRoute->mName };
  request.mHttp = mContext.mHttp;
  request.mHttp.mHeaders = ForwardedHeaders(mContext.mHttp.mHeaders);
  return request;
}

AttemptResult
AttemptRun::Attempt(const BoxSpec& aBox)
{
  mAttempt = mServices.mNamer.Next();
  mRetryTaken = false;
  mServices.mView.OnSent(*mServer);
  const auto start = Now();
  auto result = mServices.mDispatcher.Send(
    aBox, MakeRequest(), [this] { return MayMoveOn(); });
  mContext.mHomeTime += Now() - start;
  mServices.mView.OnEnded(*mServer);
  mProgress.mTried.insert(mServer->mName);
  return result;
}

// Leaves an attempt that may run: only when running twice does no harm.
bool
AttemptRun::MayMoveOn()
{
  if (!mContext.mRepeatable || mRetryTaken) {
    return mRetryTaken;
  }
  mRetryTaken = mServices.mView.TryRetry(mContext.mService->mSpec.mName);
  return mRetryTaken;
}

bool
AttemptRun::operator()(AttemptAnswered& aAnswered)
{
  const bool failed = aAnswered.mHttp.mStatus >= kServerErrors;
  mAnswer = PassOn(std::move(aAnswered.mHttp));
  mServices.mView.OnPathSuccess(mServer->mBox);
  return !failed || !MayMoveOn();
}

bool
AttemptRun::operator()(const AttemptNotRun& aNotRun)
{
  mServices.mMetrics.CountRefusal(aNotRun.mRefusal);
  mServices.mView.OnRefused(
    *mServer, aNotRun.mRefusal, aNotRun.mRetryAfter, Now());
  mReason = std::string(ToText(aNotRun.mRefusal));
  switch (aNotRun.mRefusal) {
    case Refusal::kIncarnation:
    case Refusal::kExpired:
      // The answer told the home's life and clock: the same server again.
      mProgress.mTried.erase(mServer->mName);
      return false;
    case Refusal::kDemoted:
      mProgress.mDemoted.insert(mServer->mName);
      return false;
    case Refusal::kOverloaded:
      mRetryAfter = mRetryAfter ? std::min(*mRetryAfter, aNotRun.mRetryAfter)
                                : aNotRun.mRetryAfter;
      return !mServices.mView.TryRetry(mContext.mService->mSpec.mName);
    default:
      return false;
  }
}

bool
AttemptRun::operator()(const AttemptUnknown& aUnknown)
{
  mMaybeRun = true;
  mReason = aUnknown.mReason;
  const auto life = mServices.mView.LifeOf(mServer->mBox).mIncarnation;
  mToken = MakeToken(mServer->mBox, life, mAttempt);
  return !MayMoveOn();
}

CallerAnswer
AttemptRun::GiveUp() const
{
  if (mMaybeRun) {
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
