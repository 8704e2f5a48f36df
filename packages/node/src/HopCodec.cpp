#include "porttiller/node/HopCodec.h"

#include "porttiller/node/HopHeaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace porttiller {

namespace {

constexpr std::array<std::string_view, 12> kRefusals = {
  "none",    "incarnation", "no-server",  "leaving",
  "ejected", "demoted",     "overloaded", "expired",
  "revoked", "duplicate",   "stale",      "unreachable"
};
constexpr const char* kYes = "1";
constexpr double kLoadScale = 1000.0;

std::string
ToText(std::int64_t aNumber)
{
  return std::to_string(std::max<std::int64_t>(0, aNumber));
}

Millis
Remaining(TimePoint aDeadline, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aDeadline - aNow);
}

std::optional<std::uint64_t>
Number(const HttpHeaders& aHeaders, const char* aName)
{
  return ParseUnsigned(HeaderValue(aHeaders, aName));
}

} // namespace

std::string_view
ToText(Refusal aRefusal)
{
  return kRefusals.at(static_cast<std::size_t>(aRefusal));
}

std::optional<Refusal>
ParseRefusal(std::string_view aText)
{
  const auto it = std::find(kRefusals.begin(), kRefusals.end(), aText);
  if (it == kRefusals.end()) {
    return std::nullopt;
  }
  return static_cast<Refusal>(it - kRefusals.begin());
}

HttpRequestData
EncodeHomeRequest(const HomeRequest& aRequest,
                  std::optional<Millis> aHomeClockOffset,
                  TimePoint aNow)
{
  auto http = aRequest.mHttp;
  auto& headers = http.mHeaders;
  headers.push_back({ hop::kAttempt, aRequest.mAttempt.ToString() });
  headers.push_back(
    { hop::kIncarnation, std::to_string(aRequest.mHomeIncarnation.Value()) });
  headers.push_back({ hop::kServer, aRequest.mServer.Value() });
  headers.push_back(
    { hop::kPriority, std::string(ToText(aRequest.mPriority)) });
  headers.push_back(
    { hop::kBudgetMs, ToText(Remaining(aRequest.mDeadline, aNow).count()) });
  headers.push_back({ hop::kRoute, aRequest.mRoute });
  if (aHomeClockOffset) {
    headers.push_back(
      { hop::kHomeDeadlineMs,
        ToText(ToMillis(aRequest.mDeadline) + aHomeClockOffset->count()) });
  }
  if (aRequest.mRepeatable) {
    headers.push_back({ hop::kRepeatable, kYes });
  }
  if (aRequest.mLastResort) {
    headers.push_back({ hop::kLastResort, kYes });
  }
  if (!aRequest.mRequestKey.empty()) {
    headers.push_back({ hop::kRequestKey, aRequest.mRequestKey });
  }
  return http;
}

std::optional<HomeRequest>
DecodeHomeRequest(HttpRequestData aHttp, TimePoint aNow)
{
  const auto& headers = aHttp.mHeaders;
  const auto attempt = AttemptId::Parse(HeaderValue(headers, hop::kAttempt));
  const auto incarnation = Number(headers, hop::kIncarnation);
  const auto budget = Number(headers, hop::kBudgetMs);
  const auto priority = ParsePriority(HeaderValue(headers, hop::kPriority));
  if (!attempt || !incarnation || !budget || !priority) {
    return std::nullopt;
  }
  HomeRequest request{ .mAttempt = *attempt,
                       .mHomeIncarnation = Incarnation(*incarnation),
                       .mPriority = *priority,
                       .mDeadline = aNow + Millis(*budget) };
  if (const auto deadline = Number(headers, hop::kHomeDeadlineMs)) {
    request.mDeadline =
      std::min(request.mDeadline, TimePoint(Millis(*deadline)));
  }
  request.mServer = BackendServerName(HeaderValue(headers, hop::kServer));
  request.mRoute = HeaderValue(headers, hop::kRoute);
  request.mRepeatable = HeaderValue(headers, hop::kRepeatable) == kYes;
  request.mLastResort = HeaderValue(headers, hop::kLastResort) == kYes;
  request.mRequestKey = HeaderValue(headers, hop::kRequestKey);
  aHttp.mHeaders = WithoutHopHeaders(headers);
  request.mHttp = std::move(aHttp);
  return request;
}

HttpHeaders
EncodeHomeAnswer(const HomeAnswer& aAnswer,
                 const AttemptId& aAttempt,
                 Incarnation aIncarnation,
                 TimePoint aNow)
{
  HttpHeaders headers;
  headers.push_back({ hop::kAttempt, aAttempt.ToString() });
  headers.push_back(
    { hop::kIncarnation, std::to_string(aIncarnation.Value()) });
  headers.push_back({ hop::kOutcome, std::string(ToText(aAnswer.mOutcome)) });
  headers.push_back({ hop::kRefusal, std::string(ToText(aAnswer.mRefusal)) });
  headers.push_back({ hop::kHomeClockMs, ToText(ToMillis(aNow)) });
  headers.push_back(
    { hop::kLoad,
      ToText(static_cast<std::int64_t>(aAnswer.mLoad * kLoadScale)) });
  if (aAnswer.mRefusal != Refusal::kNone) {
    headers.push_back(
      { hop::kRetryAfterMs, ToText(aAnswer.mRetryAfter.count()) });
  }
  if (!aAnswer.mReason.empty()) {
    headers.push_back({ hop::kReason, aAnswer.mReason });
  }
  return headers;
}

std::optional<HomeAnswer>
DecodeHomeAnswer(HttpAnswer aHttp, const AttemptId& aAttempt)
{
  const auto& headers = aHttp.mHeaders;
  const auto outcome = ParseOutcome(HeaderValue(headers, hop::kOutcome));
  const auto refusal = ParseRefusal(HeaderValue(headers, hop::kRefusal));
  if (HeaderValue(headers, hop::kAttempt) != aAttempt.ToString() || !outcome ||
      !refusal) {
    return std::nullopt;
  }
  HomeAnswer answer{ .mOutcome = *outcome, .mRefusal = *refusal };
  answer.mLoad =
    static_cast<double>(Number(headers, hop::kLoad).value_or(0)) / kLoadScale;
  answer.mRetryAfter = Millis(Number(headers, hop::kRetryAfterMs).value_or(0));
  answer.mReason = HeaderValue(headers, hop::kReason);
  answer.mHttp = std::move(aHttp);
  return answer;
}

} // namespace porttiller
