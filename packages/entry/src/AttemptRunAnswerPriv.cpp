// The answers to the caller that AttemptRun makes.
#include "AttemptRunPriv.h"

#include "porttiller/hop/HopHeaders.h"

namespace porttiller {

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr Millis kDefaultRetryAfter{ 500 };
constexpr Millis kUnknownRetryAfter{ 1000 };

// "<home box>/<home incarnation>/<attempt id>"
std::string
MakeToken(const BoxName& aBox,
          Incarnation aHomeIncarnation,
          const AttemptId& aAttempt)
{
  return AttemptId(aBox, aHomeIncarnation, 0).ToString() + "/" +
         aAttempt.ToString();
}

} // namespace

std::string
AttemptRun::TokenOf(const RunningAttempt& aAttempt) const
{
  const auto& box = aAttempt.mServer->mBox;
  return MakeToken(
    box, mDependencies.mView.HomeStateOf(box).mIncarnation, aAttempt.mId);
}

CallerAnswer
AttemptRun::MakeFailureAnswer() const
{
  if (mPlan.OutcomeWithoutAnswer() == Outcome::kUnknown) {
    const auto reason = mRunning.empty() ? mReason : std::string("deadline");
    auto answer = MakeProxyAnswer(kGatewayTimeout, Outcome::kUnknown, reason);
    answer.mToken = mToken;
    answer.mRetryAfter = kUnknownRetryAfter;
    return answer;
  }
  auto answer = MakeProxyAnswer(kUnavailable, Outcome::kNotRun, mReason);
  answer.mRetryAfter = mRetryAfter.value_or(kDefaultRetryAfter);
  return answer;
}

CallerAnswer
ToCallerAnswer(HttpAnswer aHttp)
{
  return { .mStatus = aHttp.mStatus,
           .mHeaders = WithoutHopHeaders(aHttp.mHeaders),
           .mBody = std::move(aHttp.mBody),
           .mOutcome = Outcome::kRun };
}

} // namespace porttiller
