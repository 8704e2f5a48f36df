// What a home reports of an earlier attempt.
#pragma once

#include "porttiller/core/Outcome.h"
#include "porttiller/policy/AttemptRegistry.h"

#include <string>

namespace porttiller {

namespace wire {
class AttemptReply;
}

// State of an earlier attempt, as reported by its home.
struct AttemptStatus
{
  AttemptState mState = AttemptState::kForgotten;
  Outcome mOutcome = Outcome::kUnknown; // valid when kFinished
  RecordedAnswerPtr mAnswer; // null: not recorded, or another request key
};

AttemptStatus
ToAttemptStatus(const AttemptReport& aReport, const std::string& aRequestKey);

// Of another box, which may run another version: an answer that is no valid
// HTTP counts as not recorded.
AttemptStatus
ToAttemptStatus(const wire::AttemptReply& aReply,
                const std::string& aRequestKey);

} // namespace porttiller
