#include "porttiller/entry/AttemptFilter.h"

#include "AttemptRunPriv.h"

namespace porttiller {

namespace {

constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr Millis kUnknownRetryAfter{ 1000 };

struct Token
{
  BoxName mBox;
  Incarnation mHomeIncarnation;
  AttemptId mAttempt;
};

std::optional<Token>
ParseToken(const std::string& aText)
{
  std::size_t slash = std::string::npos;
  for (int i = 0; i < 3; ++i) {
    slash = aText.find('/', slash == std::string::npos ? 0 : slash + 1);
    if (slash == std::string::npos) {
      return std::nullopt;
    }
  }
  const auto home = AttemptId::Parse(aText.substr(0, slash));
  const auto attempt = AttemptId::Parse(aText.substr(slash + 1));
  if (!home || !attempt) {
    return std::nullopt;
  }
  return Token{ home->Box(), home->BoxIncarnation(), *attempt };
}

} // namespace

AttemptIdGenerator::AttemptIdGenerator(BoxName aBox, Incarnation aIncarnation)
  : mBox(std::move(aBox))
  , mIncarnation(aIncarnation)
{
}

AttemptId
AttemptIdGenerator::Next()
{
  return { mBox, mIncarnation, mNext.fetch_add(1) };
}

std::optional<CallerAnswer>
AttemptFilter::Apply(RequestContext& aContext) const
{
  return AttemptRun(mDependencies, aContext).Run();
}

std::optional<CallerAnswer>
TokenFilter::Apply(RequestContext& aContext) const
{
  if (aContext.mToken.empty()) {
    return std::nullopt;
  }
  const auto token = ParseToken(aContext.mToken);
  if (!token) {
    return MakeProxyAnswer(kBadRequest, Outcome::kNotRun, "bad-token");
  }
  AttemptStatus attemptStatus;
  if (const auto* box = aContext.mSnapshot->FindBox(token->mBox)) {
    attemptStatus = mDependencies.mDispatcher.Revoke(
      *box, token->mHomeIncarnation, token->mAttempt, aContext.mRequestKey);
  }
  if (attemptStatus.mState == AttemptState::kNotRun) {
    return std::nullopt; // safe to send a new attempt
  }
  if (attemptStatus.mAnswer) {
    return ToCallerAnswer(
      { .mStatus = attemptStatus.mAnswer->mStatus,
        .mHeaders = { { "Content-Type", attemptStatus.mAnswer->mContentType } },
        .mBody = attemptStatus.mAnswer->mBody });
  }
  const bool running = attemptStatus.mState == AttemptState::kRunning;
  auto answer = MakeProxyAnswer(
    kBadGateway, Outcome::kUnknown, running ? "still-running" : "forgotten");
  if (running) {
    answer.mToken = aContext.mToken;
    answer.mRetryAfter = kUnknownRetryAfter;
  }
  return answer;
}

} // namespace porttiller
