#include "porttiller/entry/Dispatcher.h"

#include "porttiller/hop/HopCodec.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kUnreachableRetryAfter{ 200 };

AttemptResult
FromHome(HomeAnswer aAnswer)
{
  switch (aAnswer.mOutcome) {
    case Outcome::kRun:
      return AttemptAnswered{ std::move(aAnswer.mHttp),
                              aAnswer.mLoad,
                              aAnswer.mUsualTime };
    case Outcome::kNotRun:
      return AttemptNotRun{ aAnswer.mRefusal, aAnswer.mRetryAfter };
    case Outcome::kUnknown:
      break;
  }
  return AttemptUnknown{ aAnswer.mReason };
}

AttemptFate
ToFate(const AttemptReport& aReport, const std::string& aRequestKey)
{
  AttemptFate fate{ .mState = aReport.mState, .mOutcome = aReport.mOutcome };
  const auto& answer = aReport.mAnswer;
  if (answer && answer->mRequestKey == aRequestKey) {
    fate.mAnswer = answer;
  }
  return fate;
}

AttemptFate
ToFate(const wire::AttemptReply& aReply, const std::string& aRequestKey)
{
  AttemptFate fate;
  if (aReply.state() <= static_cast<int>(AttemptState::kForgotten)) {
    fate.mState = static_cast<AttemptState>(aReply.state());
  }
  if (aReply.outcome() <= static_cast<int>(Outcome::kUnknown)) {
    fate.mOutcome = static_cast<Outcome>(aReply.outcome());
  }
  if (aReply.has_answer()) {
    auto answer = std::make_shared<RecordedAnswer>();
    answer->mStatus = aReply.status();
    answer->mContentType = aReply.content_type();
    answer->mBody = aReply.body();
    answer->mRequestKey = aRequestKey;
    fate.mAnswer = std::move(answer);
  }
  return fate;
}

wire::Envelope
MakeQuestion(Incarnation aNamed,
             const AttemptId& aAttempt,
             const std::string& aRequestKey,
             bool aRevoke)
{
  wire::Envelope question;
  auto* body = question.mutable_attempt();
  body->set_attempt(aAttempt.ToString());
  body->set_home_incarnation(aNamed.Value());
  body->set_revoke(aRevoke);
  body->set_request_key(aRequestKey);
  return question;
}

HttpAnswer
ToHttp(const RecordedAnswer& aAnswer)
{
  HttpAnswer http{ .mStatus = aAnswer.mStatus, .mBody = aAnswer.mBody };
  if (!aAnswer.mContentType.empty()) {
    http.mHeaders.push_back({ "Content-Type", aAnswer.mContentType });
  }
  return http;
}

} // namespace

Dispatcher::Dispatcher(const Settings& aSettings,
                       Home& aHome,
                       EntryView& aView,
                       PeerTransport& aTransport,
                       Metrics& aMetrics,
                       const Cutoff& aCutoff)
  : mSettings(aSettings)
  , mHome(aHome)
  , mView(aView)
  , mTransport(aTransport)
  , mMetrics(aMetrics)
  , mCutoff(aCutoff)
{
}

HttpPool&
Dispatcher::PoolOf(const BoxSpec& aBox)
{
  const std::lock_guard lock(mPoolsMutex);
  auto& pool = mPools[aBox.mHomeAddress];
  if (!pool) {
    pool = std::make_unique<HttpPool>(
      HttpPoolOptions{ .mAddress = aBox.mHomeAddress,
                       .mMaxConnections = mSettings.mPeers.mConnectionsPerBox,
                       .mConnectTimeout = mSettings.mPeers.mConnectTimeout,
                       .mUserTimeout = mSettings.mPeers.mUserTimeout });
  }
  return *pool;
}

AttemptResult
Dispatcher::Send(const BoxSpec& aBox, HomeRequest aRequest)
{
  if (aBox.mName == mSettings.mBox && !Lingers(aRequest)) {
    aRequest.mHomeIncarnation = mHome.OwnIncarnation();
    return SendLocal(aRequest);
  }
  // A home may outlast the caller's deadline with a lingering request; the
  // entry must not, so it is sent as if to another box.
  aRequest.mHomeIncarnation = mView.LifeOf(aBox.mName).mIncarnation;
  return SendRemote(aBox, aRequest);
}

AttemptResult
Dispatcher::SendLocal(const HomeRequest& aRequest)
{
  return FromHome(mHome.Handle(aRequest));
}

AttemptResult
Dispatcher::SendRemote(const BoxSpec& aBox, const HomeRequest& aRequest)
{
  const auto offset = mView.LifeOf(aBox.mName).mClockOffset;
  const auto http = EncodeHomeRequest(aRequest, offset, Now());
  auto exchange = PoolOf(aBox).Begin(http, aRequest.mDeadline);
  if (exchange) {
    (*exchange)->CancelWith(CancellationOf(aRequest));
    return Await(aBox, aRequest, **exchange);
  }
  if (exchange.error() == ExchangeError::kBusy) {
    return AttemptNotRun{ Refusal::kOverloaded, kUnreachableRetryAfter };
  }
  mView.OnPathFailure(aBox.mName, Now());
  if (exchange.error() == ExchangeError::kNotSent) {
    return AttemptNotRun{ Refusal::kUnreachable, kUnreachableRetryAfter };
  }
  return Settle(aBox, aRequest, ToText(exchange.error()));
}

bool
Dispatcher::WaitReadable(const HomeRequest& aRequest,
                         HttpExchange& aExchange,
                         TimePoint aUntil) const
{
  return mCutoff.WaitInSlices(
    aUntil,
    [&] { return IsCancelled(aRequest); },
    [&](TimePoint aSliceEnd) { return aExchange.WaitReadable(aSliceEnd); });
}

AttemptResult
Dispatcher::Await(const BoxSpec& aBox,
                  const HomeRequest& aRequest,
                  HttpExchange& aExchange)
{
  const auto patience = Now() + mSettings.mTiming.mAttemptPatience;
  const bool early =
    WaitReadable(aRequest, aExchange, std::min(patience, aRequest.mDeadline));
  if (IsCancelled(aRequest)) {
    return AttemptUnknown{ "caller-gone" }; // the home sees the connection end
  }
  if (early) {
    return Read(aBox, aRequest, aExchange);
  }
  // A home that is alive and has it knows better than we when to give up. In a
  // planned stop nothing is left that may be running: what comes of it is owed
  // to the caller, and there is little time for another attempt.
  const bool homeHasIt =
    mCutoff.IsSet() ||
    (mSettings.mFailingServers == FailingServers::kBreak &&
     Query(aBox, aRequest.mHomeIncarnation, aRequest.mAttempt, "").mState ==
       AttemptState::kRunning);
  if (!homeHasIt) {
    PoolOf(aBox).DropIdle();
    auto settled = Settle(aBox, aRequest, "slow");
    if (!std::holds_alternative<AttemptUnknown>(settled)) {
      return settled;
    }
  }
  const bool late = WaitReadable(aRequest, aExchange, aRequest.mDeadline);
  if (IsCancelled(aRequest)) {
    return AttemptUnknown{ "caller-gone" };
  }
  if (late) {
    return Read(aBox, aRequest, aExchange);
  }
  // The caller is owed its answer now. The home has the deadline, too, and runs
  // nothing after it.
  return AttemptUnknown{ "deadline" };
}

AttemptResult
Dispatcher::Read(const BoxSpec& aBox,
                 const HomeRequest& aRequest,
                 HttpExchange& aExchange)
{
  auto http = aExchange.ReadAnswer(mCutoff.Limit(aRequest.mDeadline),
                                   [&] { return IsCancelled(aRequest); });
  if (!http && http.error() == ExchangeError::kCancelled) {
    return AttemptUnknown{ "caller-gone" };
  }
  if (!http) {
    mMetrics.DroppedAnswers().Increment();
    PoolOf(aBox).DropIdle();
    mView.OnPathFailure(aBox.mName, Now());
    return Settle(aBox, aRequest, std::string("home-") + ToText(http.error()));
  }
  auto decoded = DecodeHomeAnswer(std::move(*http), aRequest.mAttempt);
  if (!decoded) {
    mMetrics.DroppedAnswers().Increment();
    return Settle(aBox, aRequest, "foreign-answer");
  }
  const Millis offset = decoded->mHomeClock - Millis(ToMillis(Now()));
  mView.SetLife(
    aBox.mName,
    { .mIncarnation = decoded->mIncarnation, .mClockOffset = offset });
  mView.OnPathSuccess(aBox.mName);
  return FromHome(std::move(decoded->mAnswer));
}

AttemptResult
Dispatcher::Settle(const BoxSpec& aBox,
                   const HomeRequest& aRequest,
                   const std::string& aReason)
{
  const auto fate = Revoke(
    aBox, aRequest.mHomeIncarnation, aRequest.mAttempt, aRequest.mRequestKey);
  if (fate.mState == AttemptState::kNotRun) {
    return AttemptNotRun{ Refusal::kRevoked, kUnreachableRetryAfter };
  }
  if (fate.mState == AttemptState::kFinished && fate.mAnswer) {
    return AttemptAnswered{ ToHttp(*fate.mAnswer), 0.0 };
  }
  LogLine(LogLevel::kWarning, "attempt_unknown")
    .With("request", aRequest.mRequestId)
    .With("attempt", aRequest.mAttempt.ToString())
    .With("home", aBox.mName.Value())
    .With("reason", aReason);
  return AttemptUnknown{ aReason };
}

AttemptFate
Dispatcher::Query(const BoxSpec& aBox,
                  Incarnation aNamed,
                  const AttemptId& aAttempt,
                  const std::string& aRequestKey)
{
  return Ask(aBox, MakeQuestion(aNamed, aAttempt, aRequestKey, false));
}

AttemptFate
Dispatcher::Revoke(const BoxSpec& aBox,
                   Incarnation aNamed,
                   const AttemptId& aAttempt,
                   const std::string& aRequestKey)
{
  if (aBox.mName == mSettings.mBox) {
    return ToFate(mHome.Revoke(aAttempt, aNamed), aRequestKey);
  }
  mMetrics.Revokes().Increment();
  return Ask(aBox, MakeQuestion(aNamed, aAttempt, aRequestKey, true));
}

AttemptFate
Dispatcher::Ask(const BoxSpec& aBox, wire::Envelope aQuestion)
{
  const auto key = aQuestion.attempt().request_key();
  const auto reply = mTransport.Call(aBox.mControlAddress,
                                     std::move(aQuestion),
                                     mSettings.mTiming.mRevokeTimeout);
  if (!reply || !reply->has_attempt_reply()) {
    mView.OnPathFailure(aBox.mName, Now());
    return {};
  }
  return ToFate(reply->attempt_reply(), key);
}

} // namespace porttiller
