#include "porttiller/policy/Batcher.h"

#include <algorithm>

namespace porttiller {

Batcher::Batcher(BatcherOptions aOptions)
  : mOptions(aOptions)
  , mGap(aOptions.mGap)
{
}

std::optional<Millis>
Batcher::OnChange(TimePoint aNow)
{
  if (mPlanned) {
    return std::nullopt;
  }
  mPlanned = true;
  if (!mLast) {
    return Millis(0);
  }
  const auto left = std::chrono::ceil<Millis>(*mLast + mGap - aNow);
  return std::max(Millis(0), left);
}

void
Batcher::OnBatch(TimePoint aNow)
{
  mPlanned = false;
  mLast = aNow;
}

void
Batcher::OnBatchDone(TimePoint aNow)
{
  const auto cost = std::chrono::ceil<Millis>(aNow - mLast.value_or(aNow));
  const auto gap = cost * (1 + mOptions.mRestPerCost);
  const auto most = std::max(mOptions.mGap, mOptions.mMaxGap);
  mGap = std::clamp(gap, mOptions.mGap, most);
}

} // namespace porttiller
