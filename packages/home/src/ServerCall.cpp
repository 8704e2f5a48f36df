#include "porttiller/home/ServerCall.h"

#include "porttiller/hop/HopHeaders.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kRetryAfter{ 1000 };
// How long past the deadline to wait for an answer if the caller may query the
// outcome later.
constexpr Millis kLateAnswerWait{ 5000 };
// Backend servers close idle connections after about 10 s. The pool closes them
// earlier, so that no request is sent on a connection that is being closed.
constexpr Millis kIdleClose{ 7000 };
constexpr int kMisdirectedRequest = 421;
// A connection that was idle for this long may have been closing when it was
// used.
constexpr Millis kLongIdle{ 1000 };
constexpr const char* kLeavingReason = "leaving";

HomeAnswer
Unknown(ExchangeError aError)
{
  return { .mOutcome = Outcome::kUnknown,
           .mReason = std::string("server-") + ToText(aError),
           .mServerClosed = aError == ExchangeError::kClosed ||
                            aError == ExchangeError::kTruncated };
}

} // namespace

ServerCall::ServerCall(const BackendServerSpec& aSpec,
                       const EdgeHeaders& aNames,
                       const ShutdownDeadline& aShutdownDeadline,
                       std::shared_ptr<BodyBudget> aAnswerBudget)
  : mServer(aSpec.mName)
  , mNames(aNames)
  , mShutdownDeadline(aShutdownDeadline)
  , mPool({ .mAddress = aSpec.mAddress,
            .mMaxConnections = std::min(aSpec.mConnections, aSpec.mSlots),
            .mIdleClose = kIdleClose,
            .mBodyBudget = std::move(aAnswerBudget) })
{
}

HttpRequestData
ServerCall::MakeRequest(const HomeRequest& aRequest) const
{
  const auto& names = mNames;
  auto http = aRequest.mHttp;
  RemoveHeader(http.mHeaders, names.mServerDeadline);
  const auto remaining = std::chrono::ceil<Millis>(aRequest.mDeadline - Now());
  http.mHeaders.push_back(
    { names.mServerDeadline,
      std::to_string(std::max<Millis::rep>(1, remaining.count())) });
  if (!names.mExpectedServer.empty()) {
    RemoveHeader(http.mHeaders, names.mExpectedServer);
    http.mHeaders.push_back({ names.mExpectedServer, mServer.Value() });
  }
  return http;
}

HomeAnswer
ServerCall::Run(const HomeRequest& aRequest)
{
  auto begun = mPool.Begin(MakeRequest(aRequest), aRequest.mDeadline);
  if (!begun) {
    if (begun.error() == ExchangeError::kBusy ||
        begun.error() == ExchangeError::kNotSent) {
      const bool busy = begun.error() == ExchangeError::kBusy;
      return { .mOutcome = Outcome::kNotRun,
               .mRejectReason =
                 busy ? RejectReason::kOverloaded : RejectReason::kUnreachable,
               .mRetryAfter = kRetryAfter,
               .mReason = ToText(begun.error()) };
    }
    return Unknown(begun.error());
  }
  // Destroying the exchange without reading its answer closes the connection,
  // which lets the server stop.
  auto& exchange = **begun;
  exchange.CancelWith(CancellationOf(aRequest));
  const auto deadline =
    aRequest.mDeadline +
    (WaitsPastDeadline(aRequest) ? kLateAnswerWait : Millis(0));
  const auto stop = [&] {
    return IsCancelled(aRequest) || Now() >= mShutdownDeadline.Limit(deadline);
  };
  const auto& idName = mNames.mRequestId;
  const auto belongs = [&](const HttpAnswer& aAnswer) {
    const auto id = idName.empty() ? "" : HeaderValue(aAnswer.mHeaders, idName);
    return id.empty() || id == aRequest.mRequestId;
  };
  const auto idleTime = exchange.IdleTime();
  auto answer = exchange.ReadAnswer(deadline, stop, belongs);
  if (answer) {
    return ToHomeAnswer(aRequest, std::move(*answer));
  }
  if (answer.error() == ExchangeError::kCancelled && !IsCancelled(aRequest)) {
    return Unknown(ExchangeError::kTimeout); // aborted by a planned stop
  }
  auto unknown = Unknown(answer.error());
  if (answer.error() == ExchangeError::kClosed && idleTime >= kLongIdle) {
    unknown.mReason += "-after-rest";
  }
  return unknown;
}

// Derives the outcome from an answer. It is unknown when the answer is not
// signed by the server as complete, belongs to another request or was altered.
HomeAnswer
ServerCall::ToHomeAnswer(const HomeRequest& aRequest, HttpAnswer aHttp)
{
  const auto& names = mNames;
  const auto signals = ReadServerSignals(aHttp.mHeaders, names);
  if (ReportsNotRun(aHttp)) {
    auto rejection = RejectionOf(aHttp);
    if (rejection.mRejectReason != RejectReason::kNoServer) {
      rejection.mSignals = signals;
    }
    return rejection;
  }
  const bool unsignedAnswer =
    !names.mSignature.empty() &&
    (HeaderValue(aHttp.mHeaders, names.mSignature).empty() ||
     HeaderValue(aHttp.mHeaders, names.mRequestId) != aRequest.mRequestId);
  // No request asks for a content encoding, so the server did not encode it.
  const bool encoded = !names.mSignature.empty() &&
                       !HeaderValue(aHttp.mHeaders, "Content-Encoding").empty();
  if (unsignedAnswer || encoded) {
    return { .mOutcome = Outcome::kUnknown,
             .mReason = "server-spoiled-answer" };
  }
  return { .mOutcome = Outcome::kRun,
           .mHttp = std::move(aHttp),
           .mSignals = signals };
}

bool
ServerCall::ReportsNotRun(const HttpAnswer& aHttp) const
{
  const auto& notRun = mNames.mNotRun;
  if (notRun.empty()) {
    return HeaderValue(aHttp.mHeaders, hop::kOutcome) ==
           ToText(Outcome::kNotRun);
  }
  return aHttp.mStatus == kMisdirectedRequest ||
         !HeaderValue(aHttp.mHeaders, notRun).empty();
}

// The rejection by a server that reports that it did not run the request: it
// sheds load, is leaving, or is not the server that the request is for.
HomeAnswer
ServerCall::RejectionOf(const HttpAnswer& aHttp)
{
  auto rejectReason = RejectReason::kServerBusy;
  if (aHttp.mStatus == kMisdirectedRequest) {
    rejectReason = RejectReason::kNoServer;
  } else if (HeaderValue(aHttp.mHeaders, hop::kReason) == kLeavingReason) {
    rejectReason = RejectReason::kLeaving;
  }
  return { .mOutcome = Outcome::kNotRun,
           .mRejectReason = rejectReason,
           .mRetryAfter = kRetryAfter };
}

} // namespace porttiller
