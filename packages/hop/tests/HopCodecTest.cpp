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
                       .mMayFail = true,
                       .mRepeat = true,
                       .mDeadline = kNow + Millis(900),
                       .mRequestKey = "key",
                       .mRoute = "r" };
  request.mHttp = { .mMethod = "PUT",
                    .mTarget = "/x?y=1",
                    .mHeaders = { { "Host", "h" } },
                    .mBody = "body" };
  return request;
}

} // namespace

TEST_CASE("A home reads what the entry wrote")
{
  const auto request = MakeRequest();
  const auto read =
    DecodeHomeRequest(EncodeHomeRequest(request, std::nullopt, kNow), kNow);
  REQUIRE(read);
  CHECK(read->mAttempt == request.mAttempt);
  CHECK(read->mHomeIncarnation == request.mHomeIncarnation);
  CHECK(read->mServer == request.mServer);
  CHECK(read->mPriority == request.mPriority);
  CHECK(read->mRepeatable);
  CHECK(read->mMayFail);
  CHECK_FALSE(read->mLastResort);
  CHECK(read->mRepeat);
  CHECK(read->mDeadline == request.mDeadline);
  CHECK(read->mRequestKey == "key");
  CHECK(read->mRoute == "r");
  CHECK(read->mHttp.mBody == "body");
  CHECK(read->mHttp.mHeaders == request.mHttp.mHeaders);
}

TEST_CASE("A deadline as a point in time is not stretched on the way")
{
  const auto http = EncodeHomeRequest(MakeRequest(), Millis(1000), kNow);
  // The home's clock is one second ahead; the message was 300 ms under way.
  const auto read = DecodeHomeRequest(http, kNow + Millis(1300));
  REQUIRE(read);
  CHECK(read->mDeadline == kNow + Millis(1900));
}

TEST_CASE("An entry reads what the home wrote, for its own attempt only")
{
  const HomeAnswer answer{ .mOutcome = Outcome::kNotRun,
                           .mRefusal = Refusal::kDemoted,
                           .mRetryAfter = Millis(120),
                           .mLoad = 0.75,
                           .mReason = "because" };
  const auto request = MakeRequest();
  const HttpAnswer http{ .mStatus = 503,
                         .mHeaders = EncodeHomeAnswer(
                           answer, request.mAttempt, Incarnation(8), kNow) };
  const auto read = DecodeHomeAnswer(http, request.mAttempt);
  REQUIRE(read);
  CHECK(read->mIncarnation == Incarnation(8));
  CHECK(read->mHomeClock == Millis(50'000));
  CHECK(read->mAnswer.mOutcome == answer.mOutcome);
  CHECK(read->mAnswer.mRefusal == answer.mRefusal);
  CHECK(read->mAnswer.mRetryAfter == answer.mRetryAfter);
  CHECK(read->mAnswer.mLoad == doctest::Approx(0.75));
  CHECK(read->mAnswer.mReason == "because");
  const AttemptId other(BoxName("b"), Incarnation(7), 10);
  CHECK_FALSE(DecodeHomeAnswer(http, other));
}

TEST_CASE("Fields that are missing or malformed make no attempt")
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
