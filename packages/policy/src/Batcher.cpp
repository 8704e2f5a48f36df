#include "porttiller/policy/Batcher.h"

#include <algorithm>

namespace porttiller {

Batcher::Batcher(BatcherOptions aOptions)
  : mOptions(aOptions)
  , mInterval(aOptions.mMinInterval)
{
}

std::optional<Millis>
Batcher::OnChange(TimePoint aNow)
{
  if (mScheduled) {
    return std::nullopt;
  }
  mScheduled = true;
  if (!mLastBatch) {
    return Millis(0);
  }
  const auto remaining =
    std::chrono::ceil<Millis>(*mLastBatch + mInterval - aNow);
  return std::max(Millis(0), remaining);
}

void
Batcher::OnBatch(TimePoint aNow)
{
  mScheduled = false;
  mLastBatch = aNow;
}

void
Batcher::OnBatchDone(TimePoint aNow)
{
  const auto batchTime =
    std::chrono::ceil<Millis>(aNow - mLastBatch.value_or(aNow));
  const auto interval = batchTime * (1 + mOptions.mIdleRatio);
  const auto longest = std::max(mOptions.mMinInterval, mOptions.mMaxInterval);
  mInterval = std::clamp(interval, mOptions.mMinInterval, longest);
}

} // namespace porttiller
