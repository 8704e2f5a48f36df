#include "porttiller/config/StoreCursor.h"

#include <algorithm>

namespace porttiller {

std::optional<std::uint64_t>
StoreCursor::From(std::uint64_t aHeld) const
{
  if (aHeld == 0 || mLost) {
    return std::nullopt;
  }
  return std::max(aHeld, mRead);
}

ObjectDelta
StoreCursor::RebasedOn(std::uint64_t aHeld, ObjectDelta aDelta)
{
  aDelta.mFrom = std::min(aDelta.mFrom, aHeld);
  return aDelta;
}

void
StoreCursor::OnRead(const ObjectDelta& aDelta,
                    const tl::expected<void, ApplyError>& aResult)
{
  // The set already has the changes of a stale delta.
  mLost = !aResult && aResult.error() == ApplyError::kGap;
  if (!mLost) {
    mRead = std::max(mRead, aDelta.mCursor);
  }
}

} // namespace porttiller
