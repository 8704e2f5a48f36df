#include "porttiller/policy/RunningTrials.h"

namespace porttiller {

void
RunningTrials::OnStarted(const AttemptId& aAttempt, TimePoint aNow)
{
  mRunning[aAttempt] = aNow;
}

std::vector<TimePoint>
RunningTrials::TakeAccepted(TimePoint aNow)
{
  std::vector<TimePoint> accepted;
  std::erase_if(mRunning, [&](const auto& aRequest) {
    if (aNow < aRequest.second + kAcceptedAfter) {
      return false;
    }
    if (mResets) {
      accepted.push_back(aRequest.second);
    }
    return true;
  });
  return accepted;
}

} // namespace porttiller
