#include "porttiller/entry/Dispatcher.h"

#include "porttiller/hop/HopCodec.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kUnreachableRetryAfter{ 200 };

AttemptResult
ToAttemptResult(HomeAnswer aAnswer)
{
  switch (aAnswer.mOutcome) {
    case Outcome::kRun:
      return AttemptAnswered{ std::move(aAnswer.mHttp),
                              aAnswer.mLoad,
                              aAnswer.mLatencyP90,
                              aAnswer.mDemand };
    case Outcome::kNotRun:
      return AttemptNotRun{ aAnswer.mRejectReason,
                            aAnswer.mRetryAfter,
                            aAnswer.mDemand,
                            aAnswer.mSilent };
    case Outcome::kUnknown:
      break;
  }
  return AttemptUnknown{ aAnswer.mReason, aAnswer.mCrash };
}

wire::Envelope
MakeAttemptQuery(Incarnation aHomeIncarnation,
                 const AttemptId& aAttempt,
                 const std::string& aRequestKey,
                 bool aRevoke)
{
  wire::Envelope query;
  auto* body = query.mutable_attempt();
  body->set_attempt(aAttempt.ToString());
  body->set_home_incarnation(aHomeIncarnation.Value());
  body->set_revoke(aRevoke);
  body->set_request_key(aRequestKey);
  return query;
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
                       const ShutdownDeadline& aShutdownDeadline,
                       std::shared_ptr<BodyBudget> aAnswerBudget)
  : mSettings(aSettings)
  , mHome(aHome)
  , mView(aView)
  , mTransport(aTransport)
  , mMetrics(aMetrics)
  , mShutdownDeadline(aShutdownDeadline)
  , mAnswerBudget(std::move(aAnswerBudget))
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
                       .mUserTimeout = mSettings.mPeers.mUserTimeout,
                       .mBodyBudget = mAnswerBudget });
  }
  return *pool;
}

AttemptResult
Dispatcher::Send(const BoxSpec& aBox, HomeRequest aRequest)
{
  if (aBox.mName == mSettings.mBox && !WaitsPastDeadline(aRequest)) {
    aRequest.mHomeIncarnation = mHome.OwnIncarnation();
    return SendLocal(aRequest);
  }
  // The home may hold such a request past the caller's deadline, but the entry
  // must answer by then. A local call would block, so the remote path is used
  // even to the home of this box.
  aRequest.mHomeIncarnation = mView.HomeStateOf(aBox.mName).mIncarnation;
  return SendRemote(aBox, aRequest);
}

AttemptResult
Dispatcher::SendLocal(const HomeRequest& aRequest)
{
  return ToAttemptResult(mHome.Handle(aRequest));
}

AttemptResult
Dispatcher::SendRemote(const BoxSpec& aBox, const HomeRequest& aRequest)
{
  const auto offset = mView.HomeStateOf(aBox.mName).mClockOffset;
  const auto http = EncodeHomeRequest(aRequest, offset, Now());
  auto exchange = PoolOf(aBox).Begin(http, aRequest.mDeadline);
  if (exchange) {
    (*exchange)->CancelWith(CancellationOf(aRequest));
    return AwaitAnswer(aBox, aRequest, **exchange);
  }
  if (exchange.error() == ExchangeError::kBusy) {
    return AttemptNotRun{ RejectReason::kOverloaded, kUnreachableRetryAfter };
  }
  mView.OnPathFailure(aBox.mName, Now());
  if (exchange.error() == ExchangeError::kNotSent) {
    return AttemptNotRun{ RejectReason::kUnreachable, kUnreachableRetryAfter };
  }
  return ResolveOutcome(aBox, aRequest, ToText(exchange.error()));
}

bool
Dispatcher::WaitReadable(const HomeRequest& aRequest,
                         HttpExchange& aExchange,
                         TimePoint aUntil) const
{
  return mShutdownDeadline.WaitInIntervals(
    aUntil,
    [&] { return IsCancelled(aRequest); },
    [&](TimePoint aIntervalEnd) {
      return aExchange.WaitReadable(aIntervalEnd);
    });
}

AttemptResult
Dispatcher::AwaitAnswer(const BoxSpec& aBox,
                        const HomeRequest& aRequest,
                        HttpExchange& aExchange)
{
  const auto checkAt = Now() + mSettings.mTiming.mAttemptCheckDelay;
  const bool early =
    WaitReadable(aRequest, aExchange, std::min(checkAt, aRequest.mDeadline));
  if (IsCancelled(aRequest)) {
    // The home sees the closed connection.
    return AttemptUnknown{ "caller-gone" };
  }
  if (early) {
    return ReadHomeAnswer(aBox, aRequest, aExchange);
  }
  // A live home that runs the attempt is the better judge of when to time out.
  // In a planned stop, an attempt that may be running is not abandoned: the
  // caller still needs its result, and there is little time for another
  // attempt.
  const bool keepWaiting =
    mShutdownDeadline.IsSet() ||
    (mSettings.mFailingServers == FailingServers::kBreak &&
     Query(aBox, aRequest.mHomeIncarnation, aRequest.mAttempt, "").mState ==
       AttemptState::kRunning);
  if (!keepWaiting) {
    PoolOf(aBox).DropIdle();
    auto resolved = ResolveOutcome(aBox, aRequest, "slow");
    if (!std::holds_alternative<AttemptUnknown>(resolved)) {
      return resolved;
    }
  }
  const bool late = WaitReadable(aRequest, aExchange, aRequest.mDeadline);
  if (IsCancelled(aRequest)) {
    return AttemptUnknown{ "caller-gone" };
  }
  if (late) {
    return ReadHomeAnswer(aBox, aRequest, aExchange);
  }
  // The caller must be answered now. The home knows the deadline, too, and does
  // not start the attempt after it.
  return AttemptUnknown{ "deadline" };
}

AttemptResult
Dispatcher::ReadHomeAnswer(const BoxSpec& aBox,
                           const HomeRequest& aRequest,
                           HttpExchange& aExchange)
{
  auto http = aExchange.ReadAnswer(mShutdownDeadline.Limit(aRequest.mDeadline),
                                   [&] { return IsCancelled(aRequest); });
  if (!http && http.error() == ExchangeError::kCancelled) {
    return AttemptUnknown{ "caller-gone" };
  }
  if (!http) {
    mMetrics.DroppedAnswers().Increment();
    PoolOf(aBox).DropIdle();
    mView.OnPathFailure(aBox.mName, Now());
    return ResolveOutcome(
      aBox, aRequest, std::string("home-") + ToText(http.error()));
  }
  auto decoded = DecodeHomeAnswer(std::move(*http), aRequest.mAttempt, Now());
  if (!decoded) {
    mMetrics.DroppedAnswers().Increment();
    return ResolveOutcome(aBox, aRequest, "foreign-answer");
  }
  const Millis offset = decoded->mHomeClock - Millis(ToMillis(Now()));
  mView.SetHomeState(
    aBox.mName,
    { .mIncarnation = decoded->mIncarnation, .mClockOffset = offset });
  mView.OnPathSuccess(aBox.mName);
  return ToAttemptResult(std::move(decoded->mAnswer));
}

AttemptResult
Dispatcher::ResolveOutcome(const BoxSpec& aBox,
                           const HomeRequest& aRequest,
                           const std::string& aReason)
{
  const auto attemptStatus = Revoke(
    aBox, aRequest.mHomeIncarnation, aRequest.mAttempt, aRequest.mRequestKey);
  if (attemptStatus.mState == AttemptState::kNotRun) {
    return AttemptNotRun{ RejectReason::kRevoked, kUnreachableRetryAfter };
  }
  if (attemptStatus.mState == AttemptState::kFinished &&
      attemptStatus.mAnswer) {
    return AttemptAnswered{ ToHttp(*attemptStatus.mAnswer), 0.0 };
  }
  LogLine(LogLevel::kWarning, "attempt_unknown")
    .With("request", aRequest.mRequestId)
    .With("attempt", aRequest.mAttempt.ToString())
    .With("home", aBox.mName.Value())
    .With("reason", aReason);
  return AttemptUnknown{ aReason };
}

AttemptStatus
Dispatcher::Query(const BoxSpec& aBox,
                  Incarnation aHomeIncarnation,
                  const AttemptId& aAttempt,
                  const std::string& aRequestKey)
{
  return SendQuery(
    aBox, MakeAttemptQuery(aHomeIncarnation, aAttempt, aRequestKey, false));
}

AttemptStatus
Dispatcher::Revoke(const BoxSpec& aBox,
                   Incarnation aHomeIncarnation,
                   const AttemptId& aAttempt,
                   const std::string& aRequestKey)
{
  if (aBox.mName == mSettings.mBox) {
    return ToAttemptStatus(mHome.Revoke(aAttempt, aHomeIncarnation),
                           aRequestKey);
  }
  mMetrics.Revokes().Increment();
  return SendQuery(
    aBox, MakeAttemptQuery(aHomeIncarnation, aAttempt, aRequestKey, true));
}

AttemptStatus
Dispatcher::SendQuery(const BoxSpec& aBox, wire::Envelope aQuery)
{
  const auto requestKey = aQuery.attempt().request_key();
  const auto reply = mTransport.Call(
    aBox.mControlAddress, std::move(aQuery), mSettings.mTiming.mRevokeTimeout);
  if (!reply || !reply->has_attempt_reply()) {
    mView.OnPathFailure(aBox.mName, Now());
    return {};
  }
  return ToAttemptStatus(reply->attempt_reply(), requestKey);
}

} // namespace porttiller
