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
    mBroken.push_back({ aAttempt, it->second, aNow });
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
CrashAttribution::OnConnectionRefused(std::uint64_t aCrash,
                                      std::uint64_t aOpened,
                                      TimePoint aNow)
{
  DropOld(aNow);
  if (mOpenedAtCrash == aOpened) {
    mBroken.clear();
    mRunning.clear();
  }
  if (mBroken.empty() && mRunning.empty()) {
    return {};
  }
  mOpenedAtCrash = aOpened;
  mBlamed.clear();
  std::map<RequestDigest, bool> found;
  const auto blame = [&](const AttemptId& aAttempt,
                         const CrashSuspect& aRequest) {
    found[aRequest.mDigest] |= aRequest.mAfterCrash;
    mBlamed[aAttempt] = { aCrash, aRequest.mAfterCrash };
  };
  for (const auto& broken : std::exchange(mBroken, {})) {
    blame(broken.mAttempt, broken.mRequest);
  }
  for (const auto& [attempt, request] : std::exchange(mRunning, {})) {
    blame(attempt, request);
  }
  std::vector<CrashSuspect> suspects;
  suspects.reserve(found.size());
  for (const auto& [digest, afterCrash] : found) {
    suspects.push_back({ digest, afterCrash });
  }
  return suspects;
}

std::optional<CrashBlame>
CrashAttribution::TakeBlame(const AttemptId& aAttempt)
{
  const auto it = mBlamed.find(aAttempt);
  if (it == mBlamed.end()) {
    return std::nullopt;
  }
  const auto blame = it->second;
  mBlamed.erase(it);
  return blame;
}

} // namespace porttiller
