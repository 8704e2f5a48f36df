#include "porttiller/policy/CanaryGate.h"

#include <algorithm>

namespace porttiller {

CanaryGate::CanaryGate(CanaryGateOptions aOptions)
  : mOptions(aOptions)
{
}

Millis
CanaryGate::MaxWait(Millis aTarget) const
{
  return std::min(aTarget / mOptions.mTargetDivisor, mOptions.mMaxWait);
}

void
CanaryGate::OnSent(const AttemptId& aAttempt, TimePoint aNow)
{
  ProveRunning(aNow);
  mUnproven[aAttempt] = aNow;
}

void
CanaryGate::OnEnded(const AttemptId& aAttempt, bool aAnswered, TimePoint aNow)
{
  ProveRunning(aNow);
  const bool unproven = mUnproven.erase(aAttempt) > 0;
  if (aAnswered && unproven) {
    mLastSignal = aNow;
  }
}

// Records the signals of requests that have run for mProofTime by aNow.
void
CanaryGate::ProveRunning(TimePoint aNow)
{
  std::erase_if(mUnproven, [&](const auto& aRequest) {
    const auto proven = aRequest.second + mOptions.mProofTime;
    if (proven > aNow) {
      return false;
    }
    mLastSignal = std::max<TimePoint>(mLastSignal.value_or(proven), proven);
    return true;
  });
}

bool
CanaryGate::IsOpen(TimePoint aNow)
{
  ProveRunning(aNow);
  return mLastSignal && aNow < *mLastSignal + mOptions.mSignalValidity;
}

GateVerdict
CanaryGate::Decide(TimePoint aUntil, TimePoint aNow)
{
  if (IsOpen(aNow)) {
    return GateVerdict::kOpen;
  }
  if (aNow >= aUntil + mOptions.mProofTime) {
    return GateVerdict::kCanary;
  }
  const bool due = aNow >= aUntil - mOptions.mProofTime;
  return due && mUnproven.empty() ? GateVerdict::kCanary : GateVerdict::kHold;
}

TimePoint
CanaryGate::NextDecision(TimePoint aUntil, TimePoint aNow)
{
  ProveRunning(aNow);
  if (mUnproven.empty()) {
    return aUntil - mOptions.mProofTime;
  }
  return std::min<TimePoint>(OldestUnproven() + mOptions.mProofTime,
                             aUntil + mOptions.mProofTime);
}

TimePoint
CanaryGate::OldestUnproven() const
{
  const auto oldest =
    std::min_element(mUnproven.begin(),
                     mUnproven.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second < aRight.second;
                     });
  return oldest->second;
}

} // namespace porttiller
