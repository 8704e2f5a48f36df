#include "porttiller/entry/AttemptStatus.h"

#include "porttiller/http/HttpTypes.h"

#include <porttiller.pb.h>

namespace porttiller {

namespace {

bool
IsValidAnswer(const wire::AttemptReply& aReply)
{
  return IsFinalStatus(aReply.status()) && IsFieldValue(aReply.content_type());
}

} // namespace

AttemptStatus
ToAttemptStatus(const AttemptReport& aReport, const std::string& aRequestKey)
{
  AttemptStatus attemptStatus{ .mState = aReport.mState,
                               .mOutcome = aReport.mOutcome };
  const auto& answer = aReport.mAnswer;
  if (answer && answer->mRequestKey == aRequestKey) {
    attemptStatus.mAnswer = answer;
  }
  return attemptStatus;
}

AttemptStatus
ToAttemptStatus(const wire::AttemptReply& aReply,
                const std::string& aRequestKey)
{
  AttemptStatus attemptStatus;
  if (aReply.state() <= static_cast<int>(AttemptState::kForgotten)) {
    attemptStatus.mState = static_cast<AttemptState>(aReply.state());
  }
  if (aReply.outcome() <= static_cast<int>(Outcome::kUnknown)) {
    attemptStatus.mOutcome = static_cast<Outcome>(aReply.outcome());
  }
  if (aReply.has_answer() && IsValidAnswer(aReply)) {
    auto answer = std::make_shared<RecordedAnswer>();
    answer->mStatus = aReply.status();
    answer->mContentType = aReply.content_type();
    answer->mBody = aReply.body();
    answer->mRequestKey = aRequestKey;
    attemptStatus.mAnswer = std::move(answer);
  }
  return attemptStatus;
}

} // namespace porttiller
