#include "porttiller/home/ServerCall.h"

#include "porttiller/hop/HopHeaders.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kRetryAfter{ 1000 };
constexpr Millis kLinger{ 5000 };
// A backend server closes idle connections after some ten seconds; ours go
// first, as a request must not meet a close.
constexpr Millis kIdleClose{ 7000 };
constexpr int kMisdirected = 421;
// A connection that had rested may have been closing when it was used.
constexpr Millis kRestedLong{ 1000 };
constexpr const char* kLeavingReason = "leaving";

HomeAnswer
Unknown(ExchangeError aError)
{
  return { .mOutcome = Outcome::kUnknown,
           .mReason = std::string("server-") + ToText(aError) };
}

} // namespace

ServerCall::ServerCall(const BackendServerSpec& aSpec,
                       const EdgeHeaders& aNames,
                       const Cutoff& aCutoff)
  : mServer(aSpec.mName)
  , mNames(aNames)
  , mCutoff(aCutoff)
  , mPool({ .mAddress = aSpec.mAddress,
            .mMaxConnections = std::min(aSpec.mConnections, aSpec.mSlots),
            .mIdleClose = kIdleClose })
{
}

HttpRequestData
ServerCall::MakeRequest(const HomeRequest& aRequest) const
{
  const auto& names = mNames;
  auto http = aRequest.mHttp;
  RemoveHeader(http.mHeaders, names.mServerDeadline);
  const auto left = std::chrono::ceil<Millis>(aRequest.mDeadline - Now());
  http.mHeaders.push_back(
    { names.mServerDeadline,
      std::to_string(std::max<Millis::rep>(1, left.count())) });
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
               .mRefusal = busy ? Refusal::kOverloaded : Refusal::kUnreachable,
               .mRetryAfter = kRetryAfter,
               .mReason = ToText(begun.error()) };
    }
    return Unknown(begun.error());
  }
  // Dropping the exchange closes its connection: the server may stop then.
  auto& exchange = **begun;
  exchange.CancelWith(CancellationOf(aRequest));
  const auto deadline =
    aRequest.mDeadline + (Lingers(aRequest) ? kLinger : Millis(0));
  const auto stop = [&] {
    return IsCancelled(aRequest) || Now() >= mCutoff.Limit(deadline);
  };
  const auto& idName = mNames.mRequestId;
  const auto belongs = [&](const HttpAnswer& aAnswer) {
    const auto id = idName.empty() ? "" : HeaderValue(aAnswer.mHeaders, idName);
    return id.empty() || id == aRequest.mRequestId;
  };
  const auto rested = exchange.Rested();
  auto answer = exchange.ReadAnswer(deadline, stop, belongs);
  if (answer) {
    return Judge(aRequest, std::move(*answer));
  }
  if (answer.error() == ExchangeError::kCancelled && !IsCancelled(aRequest)) {
    return Unknown(ExchangeError::kTimeout); // cut off by a planned stop
  }
  auto unknown = Unknown(answer.error());
  if (answer.error() == ExchangeError::kClosed && rested >= kRestedLong) {
    unknown.mReason += "-after-rest";
  }
  return unknown;
}

// What an answer is worth. One that does not show that the server made it
// whole is no answer.
HomeAnswer
ServerCall::Judge(const HomeRequest& aRequest, HttpAnswer aHttp)
{
  if (SaysNotRun(aHttp)) {
    return RefusedByServer(aHttp);
  }
  const auto& names = mNames;
  const bool unsignedAnswer =
    !names.mSignature.empty() &&
    (HeaderValue(aHttp.mHeaders, names.mSignature).empty() ||
     HeaderValue(aHttp.mHeaders, names.mRequestId) != aRequest.mRequestId);
  // Nobody asked for an encoding, so an encoded body is not the server's own.
  const bool encoded = !names.mSignature.empty() &&
                       !HeaderValue(aHttp.mHeaders, "Content-Encoding").empty();
  if (unsignedAnswer || encoded) {
    return { .mOutcome = Outcome::kUnknown,
             .mReason = "server-spoiled-answer" };
  }
  return { .mOutcome = Outcome::kRun, .mHttp = std::move(aHttp) };
}

bool
ServerCall::SaysNotRun(const HttpAnswer& aHttp) const
{
  const auto& notRun = mNames.mNotRun;
  if (notRun.empty()) {
    return HeaderValue(aHttp.mHeaders, hop::kOutcome) ==
           ToText(Outcome::kNotRun);
  }
  return aHttp.mStatus == kMisdirected ||
         !HeaderValue(aHttp.mHeaders, notRun).empty();
}

// The server's own word that it did not run the request: it is shedding load,
// leaving, or another one than the request was for.
HomeAnswer
ServerCall::RefusedByServer(const HttpAnswer& aHttp)
{
  auto refusal = Refusal::kServerBusy;
  if (aHttp.mStatus == kMisdirected) {
    refusal = Refusal::kNoServer;
  } else if (HeaderValue(aHttp.mHeaders, hop::kReason) == kLeavingReason) {
    refusal = Refusal::kLeaving;
  }
  return { .mOutcome = Outcome::kNotRun,
           .mRefusal = refusal,
           .mRetryAfter = kRetryAfter };
}

} // namespace porttiller
