#include "porttiller/policy/SilenceDetector.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

SilenceDetector::SilenceDetector(SilenceDetectorOptions aOptions)
  : mOptions(aOptions)
{
}

SilenceDetector::Request*
SilenceDetector::Find(const AttemptId& aAttempt)
{
  const auto it = std::find_if(
    mRequests.begin(), mRequests.end(), [&](const Request& aRequest) {
      return aRequest.mAttempt == aAttempt;
    });
  return it == mRequests.end() ? nullptr : &*it;
}

void
SilenceDetector::OnStarted(const AttemptId& aAttempt,
                           const std::string& aRoute,
                           TimePoint aNow)
{
  mRequests.push_back(
    { .mAttempt = aAttempt, .mRoute = aRoute, .mStarted = aNow });
  if (mRequests.size() > mOptions.mMaxRequests) {
    mRequests.pop_front();
  }
}

void
SilenceDetector::OnAnswered(const AttemptId& aAttempt)
{
  if (auto* request = Find(aAttempt)) {
    request->mState = RequestState::kAnswered;
  }
}

void
SilenceDetector::OnAbandoned(const AttemptId& aAttempt, TimePoint aNow)
{
  if (auto* request = Find(aAttempt)) {
    request->mState = RequestState::kAbandoned;
    request->mEnded = aNow;
  }
}

void
SilenceDetector::Forget(const AttemptId& aAttempt)
{
  std::erase_if(mRequests, [&](const Request& aRequest) {
    return aRequest.mAttempt == aAttempt;
  });
}

double
SilenceDetector::LogLikelihoodRatio(const Request& aRequest,
                                    const SurvivalOf& aSurvival,
                                    TimePoint aNow) const
{
  const double answered = 1.0 - mOptions.mUnansweredShare;
  if (aRequest.mState == RequestState::kAnswered) {
    return std::log(answered);
  }
  const auto until =
    aRequest.mState == RequestState::kRunning ? aNow : aRequest.mEnded;
  const auto survival = aSurvival(aRequest.mRoute, until - aRequest.mStarted);
  return std::min(mOptions.mMaxRatio,
                  std::log(answered + mOptions.mUnansweredShare / survival));
}

double
SilenceDetector::Score(const SurvivalOf& aSurvival, TimePoint aNow) const
{
  double score = 0.0;
  for (const auto& request : mRequests) {
    score += LogLikelihoodRatio(request, aSurvival, aNow);
    score = std::clamp(score, 0.0, mOptions.mMaxScore);
  }
  return score;
}

} // namespace porttiller
