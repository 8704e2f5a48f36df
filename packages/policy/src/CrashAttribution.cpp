#include "porttiller/policy/CrashAttribution.h"

#include <utility>

namespace porttiller {

void
CrashAttribution::OnStarted(const AttemptId& aAttempt,
                            const CrashSuspect& aRequest)
{
  mRunning[aAttempt] = aRequest;
}

void
CrashAttribution::OnAnswered(const AttemptId& aAttempt)
{
  mRunning.erase(aAttempt);
}

void
CrashAttribution::OnBroken(const AttemptId& aAttempt, TimePoint aNow)
{
  DropOld(aNow);
  const auto it = mRunning.find(aAttempt);
  if (it != mRunning.end()) {
    mBroken.push_back({ it->second, aNow });
    mRunning.erase(it);
  }
}

void
CrashAttribution::DropOld(TimePoint aNow)
{
  std::erase_if(mBroken, [&](const Broken& aBroken) {
    return aBroken.mAt + kCrashSpan < aNow;
  });
}

std::vector<CrashSuspect>
CrashAttribution::OnConnectionRefused(TimePoint aNow)
{
  DropOld(aNow);
  std::map<RequestDigest, bool> found;
  for (const auto& broken : std::exchange(mBroken, {})) {
    found[broken.mRequest.mDigest] |= broken.mRequest.mAfterCrash;
  }
  for (const auto& [attempt, request] : std::exchange(mRunning, {})) {
    found[request.mDigest] |= request.mAfterCrash;
  }
  std::vector<CrashSuspect> suspects;
  suspects.reserve(found.size());
  for (const auto& [digest, afterCrash] : found) {
    suspects.push_back({ digest, afterCrash });
  }
  return suspects;
}

} // namespace porttiller
