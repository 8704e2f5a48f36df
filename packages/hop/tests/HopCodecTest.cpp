#include "porttiller/hop/HopCodec.h"

#include "porttiller/hop/HopHeaders.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const TimePoint kNow{ Millis(50'000) };

HomeRequest
MakeRequest()
{
  HomeRequest request{ .mAttempt = { BoxName("b"), Incarnation(7), 9 },
                       .mHomeIncarnation = Incarnation(8),
                       .mServer = BackendServerName("i-1"),
                       .mPriority = Priority::kSheddable,
                       .mRepeatable = true,
                       .mCanFailOver = true,
                       .mIsRetry = true,
                       .mIsHedge = true,
                       .mDeadline = kNow + Millis(900),
                       .mRequestKey = "key",
                       .mRoute = "r",
                       .mLongTarget = Millis(5000) };
  request.mHttp = { .mMethod = "PUT",
                    .mTarget = "/x?y=1",
                    .mHeaders = { { "Host", "h" } },
                    .mBody = "body" };
  return request;
}

} // namespace

TEST_CASE("A home request is decoded as it was encoded")
{
  const auto request = MakeRequest();
  const auto decoded =
    DecodeHomeRequest(EncodeHomeRequest(request, std::nullopt, kNow), kNow);
  REQUIRE(decoded);
  CHECK(decoded->mAttempt == request.mAttempt);
  CHECK(decoded->mHomeIncarnation == request.mHomeIncarnation);
  CHECK(decoded->mServer == request.mServer);
  CHECK(decoded->mPriority == request.mPriority);
  CHECK(decoded->mRepeatable);
  CHECK(decoded->mCanFailOver);
  CHECK_FALSE(decoded->mLastResort);
  CHECK(decoded->mIsRetry);
  CHECK(decoded->mIsHedge);
  CHECK(decoded->mLongTarget == Millis(5000));
  CHECK(decoded->mDeadline == request.mDeadline);
  CHECK(decoded->mRequestKey == "key");
  CHECK(decoded->mRoute == "r");
  CHECK(decoded->mHttp.mBody == "body");
  CHECK(decoded->mHttp.mHeaders == request.mHttp.mHeaders);
}

TEST_CASE("Transit time does not extend a deadline on the home's clock")
{
  const auto http = EncodeHomeRequest(MakeRequest(), Millis(1000), kNow);
  // The home's clock is one second ahead; the message takes 300 ms.
  const auto decoded = DecodeHomeRequest(http, kNow + Millis(1300));
  REQUIRE(decoded);
  CHECK(decoded->mDeadline == kNow + Millis(1900));
}

TEST_CASE("A home answer is decoded as it was encoded, for its attempt only")
{
  const HomeAnswer answer{ .mOutcome = Outcome::kNotRun,
                           .mRejectReason = RejectReason::kDemoted,
                           .mRetryAfter = Millis(120),
                           .mLoad = 0.75,
                           .mReason = "because" };
  const auto request = MakeRequest();
  const HttpAnswer http{ .mStatus = 503,
                         .mHeaders = EncodeHomeAnswer(
                           answer, request.mAttempt, Incarnation(8), kNow) };
  const auto decoded = DecodeHomeAnswer(http, request.mAttempt, Now());
  REQUIRE(decoded);
  CHECK(decoded->mIncarnation == Incarnation(8));
  CHECK(decoded->mHomeClock == Millis(50'000));
  CHECK(decoded->mAnswer.mOutcome == answer.mOutcome);
  CHECK(decoded->mAnswer.mRejectReason == answer.mRejectReason);
  CHECK(decoded->mAnswer.mRetryAfter == answer.mRetryAfter);
  CHECK(decoded->mAnswer.mLoad == doctest::Approx(0.75));
  CHECK(decoded->mAnswer.mReason == "because");
  const AttemptId other(BoxName("b"), Incarnation(7), 10);
  CHECK_FALSE(DecodeHomeAnswer(http, other, Now()));
}

TEST_CASE("A limit travels with the request and with the answer")
{
  auto request = MakeRequest();
  request.mLimit = { .mRate = 1.4, .mAge = Millis(320) };
  const auto decoded =
    DecodeHomeRequest(EncodeHomeRequest(request, std::nullopt, kNow), kNow);
  REQUIRE(decoded);
  CHECK(decoded->mLimit == request.mLimit);

  const HomeAnswer answer{
    .mOutcome = Outcome::kRun,
    .mDemand = { .mLimit = LimitNote{ .mRate = 0.2, .mInterval = Millis(4100) },
                 .mLeaving = true }
  };
  const HttpAnswer http{ .mStatus = 200,
                         .mHeaders = EncodeHomeAnswer(
                           answer, request.mAttempt, Incarnation(8), kNow) };
  const auto decodedAnswer = DecodeHomeAnswer(http, request.mAttempt, kNow);
  REQUIRE(decodedAnswer);
  CHECK(decodedAnswer->mAnswer.mDemand == answer.mDemand);
}

TEST_CASE("A malformed limit is left out")
{
  const auto http = EncodeHomeRequest(MakeRequest(), std::nullopt, kNow);
  const auto fields = HeaderValue(http.mHeaders, hop::kRequestHop);
  for (const char* limit :
       { "x", "1400", "1400:", ":5", "-1:5", "1400:99999999999999", "1:2:3" }) {
    CAPTURE(limit);
    auto bad = http;
    RemoveHeader(bad.mHeaders, hop::kRequestHop);
    bad.mHeaders.push_back({ hop::kRequestHop, fields + ";-;" + limit });
    const auto decoded = DecodeHomeRequest(bad, kNow);
    REQUIRE(decoded);
    CHECK_FALSE(decoded->mLimit);
  }
}

TEST_CASE("Requests with missing or malformed fields are not decoded")
{
  const auto http = EncodeHomeRequest(MakeRequest(), std::nullopt, kNow);
  for (const char* fields :
       { "", "x", "b/7/9", "b/7/9;8;i-1;9;900", "b/7/9;8;i-1;2;-;-;r;r" }) {
    CAPTURE(fields);
    auto bad = http;
    RemoveHeader(bad.mHeaders, hop::kRequestHop);
    bad.mHeaders.push_back({ hop::kRequestHop, fields });
    CHECK_FALSE(DecodeHomeRequest(bad, kNow));
  }
}

TEST_CASE("That a demoted server is only silent travels with the rejection")
{
  const auto request = MakeRequest();
  HomeAnswer answer{ .mOutcome = Outcome::kNotRun,
                     .mRejectReason = RejectReason::kDemoted };
  const auto decode = [&] {
    const HttpAnswer http{ .mStatus = 503,
                           .mHeaders = EncodeHomeAnswer(
                             answer, request.mAttempt, Incarnation(8), kNow) };
    return DecodeHomeAnswer(http, request.mAttempt, kNow)->mAnswer;
  };
  CHECK_FALSE(decode().mSilent);
  answer.mSilent = true;
  CHECK(decode().mSilent);
  CHECK_FALSE(decode().mDemand.mLeaving);
}
