#include "porttiller/hop/HopCodec.h"

#include "porttiller/hop/CrashText.h"
#include "porttiller/hop/HopHeaders.h"

#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace porttiller {

namespace {

constexpr double kPermille = 1000.0; // unit of the load
constexpr double kPercent = 100.0;   // unit of the service's error rate
constexpr char kSeparator = ';';
constexpr char kLimitSeparator = ':';
constexpr std::uint64_t kMaxLimitMs =
  24ULL * 3'600'000; // of an age or interval
constexpr const char* kLeavingMark = "l";
constexpr const char* kSilentMark = "s";
constexpr const char* kNone = "-";
constexpr char kRepeatableFlag = 'r';
constexpr char kCanFailOverFlag = 'f';
constexpr char kLastResortFlag = 'l';
constexpr char kRetryFlag = 'p';
constexpr char kHedgeFlag = 'h';

// Writes the single header between entry and home: its fields in a fixed order,
// without names. Traffic between availability zones is charged by the byte.
class HopFieldWriter
{
public:
  HopFieldWriter& Add(std::string_view aText)
  {
    mText += mText.empty() ? "" : std::string(1, kSeparator);
    mText += aText.empty() ? kNone : aText;
    mUsed = aText.empty() ? mUsed : mText.size();
    return *this;
  }

  HopFieldWriter& Add(std::int64_t aNumber)
  {
    return Add(std::to_string(std::max<std::int64_t>(0, aNumber)));
  }

  HopFieldWriter& Add(Incarnation aIncarnation)
  {
    return Add(std::to_string(aIncarnation.Value()));
  }

  // Without the empty fields at the end.
  std::string Take() { return mText.substr(0, mUsed); }

private:
  std::string mText;
  std::size_t mUsed = 0;
};

// Reads the fields of such a header by index. A missing or empty field reads as
// "".
class HopFieldReader
{
public:
  explicit HopFieldReader(const std::string& aText)
    : mFields(aText, std::string(1, kSeparator))
  {
  }

  std::string Text(std::size_t aIndex) const
  {
    const auto text = aIndex < mFields.count() ? mFields[aIndex] : "";
    return text == kNone ? "" : text;
  }

  std::optional<std::uint64_t> Number(std::size_t aIndex) const
  {
    return ParseUnsigned(Text(aIndex));
  }

private:
  Poco::StringTokenizer mFields;
};

// The order of the fields is the wire format.
namespace request_field {
enum Index : std::size_t
{
  kAttempt,
  kHomeIncarnation,
  kServer,
  kPriority,
  kRemainingMs,
  kHomeDeadlineMs,
  kFlags,
  kRoute,
  kErrorPercent,
  kCrashes,
  kLimit,
  kLongTargetMs
};
} // namespace request_field

namespace answer_field {
enum Index : std::size_t
{
  kSequence,
  kIncarnation,
  kOutcome,
  kRejectReason,
  kHomeClockMs,
  kLoadPermille,
  kRetryAfterMs,
  kReason,
  kLatencyP90Ms,
  kCrash,
  kLimit,
  kLeaving,
  kSilent
};
} // namespace answer_field

std::string
FlagsOf(const HomeRequest& aRequest)
{
  std::string flags;
  flags += aRequest.mRepeatable ? std::string(1, kRepeatableFlag) : "";
  flags += aRequest.mCanFailOver ? std::string(1, kCanFailOverFlag) : "";
  flags += aRequest.mLastResort ? std::string(1, kLastResortFlag) : "";
  flags += aRequest.mIsRetry ? std::string(1, kRetryFlag) : "";
  flags += aRequest.mIsHedge ? std::string(1, kHedgeFlag) : "";
  return flags;
}

bool
HasFlag(const std::string& aFlags, char aFlag)
{
  return aFlags.find(aFlag) != std::string::npos;
}

// "RATE:MS" with the rate in thousandths of a request per second.
std::string
EncodeLimit(double aRate, Millis aTime)
{
  return std::to_string(std::llround(aRate * kPermille)) + kLimitSeparator +
         std::to_string(std::max<Millis::rep>(0, aTime.count()));
}

struct DecodedLimit
{
  double mRate = 0.0;
  Millis mTime{ 0 };
};

std::optional<DecodedLimit>
DecodeLimit(const std::string& aText)
{
  const Poco::StringTokenizer parts(aText, std::string(1, kLimitSeparator));
  const auto rate = ParseUnsigned(parts.count() == 2 ? parts[0] : "");
  const auto time = ParseUnsigned(parts.count() == 2 ? parts[1] : "");
  if (!rate || !time || *time > kMaxLimitMs) {
    return std::nullopt;
  }
  return DecodedLimit{ .mRate = static_cast<double>(*rate) / kPermille,
                       .mTime = Millis(*time) };
}

Millis
Remaining(TimePoint aDeadline, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aDeadline - aNow);
}

} // namespace

HttpRequestData
EncodeHomeRequest(const HomeRequest& aRequest,
                  std::optional<Millis> aHomeClockOffset,
                  TimePoint aNow)
{
  auto http = aRequest.mHttp;
  HopFieldWriter fields;
  fields.Add(aRequest.mAttempt.ToString())
    .Add(aRequest.mHomeIncarnation)
    .Add(aRequest.mServer.Value())
    .Add(static_cast<std::int64_t>(aRequest.mPriority))
    .Add(Remaining(aRequest.mDeadline, aNow).count());
  if (aHomeClockOffset) {
    fields.Add(ToMillis(aRequest.mDeadline) + aHomeClockOffset->count());
  } else {
    fields.Add("");
  }
  fields.Add(FlagsOf(aRequest)).Add(aRequest.mRoute);
  fields.Add(static_cast<std::int64_t>(aRequest.mServiceErrorRate * kPercent));
  fields.Add(EncodeCrashes(aRequest.mCrashes, aNow));
  const auto& limit = aRequest.mLimit;
  fields.Add(limit ? EncodeLimit(limit->mRate, limit->mAge) : "");
  if (aRequest.mLongTarget) {
    fields.Add(aRequest.mLongTarget->count());
  }
  http.mHeaders.push_back({ hop::kRequestHop, fields.Take() });
  if (!aRequest.mRequestKey.empty()) {
    http.mHeaders.push_back({ hop::kRequestKey, aRequest.mRequestKey });
  }
  return http;
}

std::optional<HomeRequest>
DecodeHomeRequest(HttpRequestData aHttp, TimePoint aNow)
{
  using namespace request_field;
  const HopFieldReader fields(HeaderValue(aHttp.mHeaders, hop::kRequestHop));
  const auto attempt = AttemptId::Parse(fields.Text(kAttempt));
  const auto incarnation = fields.Number(kHomeIncarnation);
  const auto remaining = fields.Number(kRemainingMs);
  const auto priority = fields.Number(kPriority);
  if (!attempt || !incarnation || !remaining || !priority ||
      *priority >= kPriorityCount) {
    return std::nullopt;
  }
  HomeRequest request{ .mAttempt = *attempt,
                       .mHomeIncarnation = Incarnation(*incarnation),
                       .mPriority = static_cast<Priority>(*priority),
                       .mDeadline = aNow + Millis(*remaining) };
  if (const auto deadline = fields.Number(kHomeDeadlineMs)) {
    request.mDeadline =
      std::min(request.mDeadline, TimePoint(Millis(*deadline)));
  }
  const auto flags = fields.Text(kFlags);
  request.mRepeatable = HasFlag(flags, kRepeatableFlag);
  request.mCanFailOver = HasFlag(flags, kCanFailOverFlag);
  request.mLastResort = HasFlag(flags, kLastResortFlag);
  request.mIsRetry = HasFlag(flags, kRetryFlag);
  request.mIsHedge = HasFlag(flags, kHedgeFlag);
  request.mServer = BackendServerName(fields.Text(kServer));
  request.mRoute = fields.Text(kRoute);
  request.mServiceErrorRate =
    static_cast<double>(fields.Number(kErrorPercent).value_or(0)) / kPercent;
  request.mCrashes = DecodeCrashes(fields.Text(kCrashes), aNow);
  if (const auto limit = DecodeLimit(fields.Text(kLimit))) {
    request.mLimit = { .mRate = limit->mRate, .mAge = limit->mTime };
  }
  if (const auto target = fields.Number(kLongTargetMs)) {
    request.mLongTarget = Millis(std::min(*target, kMaxLimitMs));
  }
  request.mRequestKey = HeaderValue(aHttp.mHeaders, hop::kRequestKey);
  aHttp.mHeaders = WithoutHopHeaders(aHttp.mHeaders);
  request.mHttp = std::move(aHttp);
  return request;
}

HttpHeaders
EncodeHomeAnswer(const HomeAnswer& aAnswer,
                 const AttemptId& aAttempt,
                 Incarnation aIncarnation,
                 TimePoint aNow)
{
  HopFieldWriter fields;
  fields.Add(static_cast<std::int64_t>(aAttempt.Sequence()))
    .Add(aIncarnation)
    .Add(static_cast<std::int64_t>(aAnswer.mOutcome))
    .Add(ToText(aAnswer.mRejectReason))
    .Add(ToMillis(aNow))
    .Add(static_cast<std::int64_t>(aAnswer.mLoad * kPermille))
    .Add(aAnswer.mRetryAfter.count())
    .Add(aAnswer.mReason);
  if (aAnswer.mLatencyP90 > Micros(0)) {
    fields.Add(std::chrono::ceil<Millis>(aAnswer.mLatencyP90).count());
  } else {
    fields.Add("");
  }
  fields.Add(aAnswer.mCrash ? EncodeCrashes({ *aAnswer.mCrash }, aNow) : "");
  const auto& demand = aAnswer.mDemand;
  fields.Add(demand.mLimit
               ? EncodeLimit(demand.mLimit->mRate, demand.mLimit->mInterval)
               : "");
  fields.Add(demand.mLeaving ? kLeavingMark : "");
  fields.Add(aAnswer.mSilent ? kSilentMark : "");
  return { { hop::kAnswerHop, fields.Take() } };
}

std::optional<DecodedHomeAnswer>
DecodeHomeAnswer(HttpAnswer aHttp, const AttemptId& aAttempt, TimePoint aNow)
{
  using namespace answer_field;
  const HopFieldReader fields(HeaderValue(aHttp.mHeaders, hop::kAnswerHop));
  const auto outcome = fields.Number(kOutcome);
  const auto rejectReason = ParseRejectReason(fields.Text(kRejectReason));
  const auto incarnation = fields.Number(kIncarnation);
  const auto clock = fields.Number(kHomeClockMs);
  if (fields.Number(kSequence) != aAttempt.Sequence() || !outcome ||
      *outcome > static_cast<std::uint64_t>(Outcome::kUnknown) ||
      !rejectReason || !incarnation || !clock) {
    return std::nullopt;
  }
  DecodedHomeAnswer decoded{ .mIncarnation = Incarnation(*incarnation),
                             .mHomeClock =
                               Millis(static_cast<std::int64_t>(*clock)) };
  auto& answer = decoded.mAnswer;
  answer.mOutcome = static_cast<Outcome>(*outcome);
  answer.mRejectReason = *rejectReason;
  answer.mLoad =
    static_cast<double>(fields.Number(kLoadPermille).value_or(0)) / kPermille;
  answer.mRetryAfter = Millis(fields.Number(kRetryAfterMs).value_or(0));
  answer.mReason = fields.Text(kReason);
  answer.mLatencyP90 = Millis(fields.Number(kLatencyP90Ms).value_or(0));
  const auto crashes = DecodeCrashes(fields.Text(kCrash), aNow);
  if (!crashes.empty()) {
    answer.mCrash = crashes.front();
  }
  if (const auto limit = DecodeLimit(fields.Text(kLimit))) {
    answer.mDemand.mLimit = { .mRate = limit->mRate,
                              .mInterval = limit->mTime };
  }
  answer.mDemand.mLeaving = fields.Text(kLeaving) == kLeavingMark;
  answer.mSilent = fields.Text(kSilent) == kSilentMark;
  answer.mHttp = std::move(aHttp);
  return decoded;
}

} // namespace porttiller
