#include "porttiller/policy/Batcher.h"

#include <algorithm>

namespace porttiller {

Batcher::Batcher(BatcherOptions aOptions)
  : mOptions(aOptions)
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
  const auto left = std::chrono::ceil<Millis>(*mLast + mOptions.mGap - aNow);
  return std::max(Millis(0), left);
}

void
Batcher::OnBatch(TimePoint aNow)
{
  mPlanned = false;
  mLast = aNow;
}

} // namespace porttiller
