#include "ReadProgressPriv.h"

namespace porttiller {

void
ReadProgress::Start(TimePoint aNow, std::uint64_t aRead)
{
  mRead = mWindowRead = aRead;
  mLastProgress = mWindowStart = aNow;
}

std::optional<SlowReader>
ReadProgress::Check(TimePoint aNow, std::uint64_t aRead)
{
  if (aRead > mRead) {
    mRead = aRead;
    mLastProgress = aNow;
  }
  if (aNow >= mLastProgress + mOptions.mUnreadTimeout) {
    return SlowReader::kStopped;
  }
  const std::chrono::duration<double> window = aNow - mWindowStart;
  if (mOptions.mMinReadRate == 0 || window < mOptions.mReadRateWindow) {
    return std::nullopt;
  }
  const auto read = static_cast<double>(mRead - mWindowRead);
  if (read < static_cast<double>(mOptions.mMinReadRate) * window.count()) {
    return SlowReader::kTooSlow;
  }
  mWindowRead = mRead;
  mWindowStart = aNow;
  return std::nullopt;
}

} // namespace porttiller
