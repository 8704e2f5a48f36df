#include "porttiller/entry/AttemptStatus.h"

#include <porttiller.pb.h>

#include <doctest/doctest.h>
#include <string>

using namespace porttiller;

namespace {

const std::string kKey = "key";

wire::AttemptReply
Finished(int aStatus, const std::string& aContentType = "text/plain")
{
  wire::AttemptReply reply;
  reply.set_state(static_cast<std::uint32_t>(AttemptState::kFinished));
  reply.set_outcome(static_cast<std::uint32_t>(Outcome::kRun));
  reply.set_has_answer(true);
  reply.set_status(aStatus);
  reply.set_content_type(aContentType);
  reply.set_body("body");
  return reply;
}

} // namespace

TEST_CASE("A recorded answer of another box is taken whole")
{
  for (const int status : { 200, 204, 404, 599 }) {
    const auto held = ToAttemptStatus(Finished(status), kKey);
    CHECK(held.mState == AttemptState::kFinished);
    REQUIRE(held.mAnswer);
    CHECK(held.mAnswer->mStatus == status);
    CHECK(held.mAnswer->mContentType == "text/plain");
    CHECK(held.mAnswer->mBody == "body");
    CHECK(held.mAnswer->mRequestKey == kKey);
  }
}

// A box of an older version records any number as a status.
TEST_CASE("A recorded answer that is no valid HTTP counts as not recorded")
{
  for (const int status : { 0, 1, 20, 99, 100, 103, 199, 600, 999, -200 }) {
    CAPTURE(status);
    const auto held = ToAttemptStatus(Finished(status), kKey);
    CHECK(held.mState == AttemptState::kFinished);
    CHECK(held.mOutcome == Outcome::kRun);
    CHECK_FALSE(held.mAnswer);
  }
  for (const std::string& type : { std::string("a\r\nX: 1"),
                                   std::string("a\0b", 3),
                                   std::string("\x7f") }) {
    CHECK_FALSE(ToAttemptStatus(Finished(200, type), kKey).mAnswer);
  }
}

TEST_CASE("A state or outcome of a later version reads as unknown")
{
  auto reply = Finished(200);
  reply.set_state(4'000'000'000);
  reply.set_outcome(4'000'000'000);
  const auto held = ToAttemptStatus(reply, kKey);
  CHECK(held.mState == AttemptState::kForgotten);
  CHECK(held.mOutcome == Outcome::kUnknown);
}
