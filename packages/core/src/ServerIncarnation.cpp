#include "porttiller/core/ServerIncarnation.h"

#include <utility>

namespace porttiller {

ServerIncarnation::ServerIncarnation(BackendServerName aId,
                                     std::optional<std::int64_t> aStartMs)
  : mId(std::move(aId))
  , mStartMs(aStartMs)
{
}

std::partial_ordering
operator<=>(const ServerIncarnation& aLeft, const ServerIncarnation& aRight)
{
  if (aLeft.mId != aRight.mId) {
    return std::partial_ordering::unordered;
  }
  return aLeft.mStartMs <=> aRight.mStartMs;
}

bool
ServerIncarnation::Supersedes(const ServerIncarnation& aOther) const
{
  return *this > aOther;
}

std::string
ServerIncarnation::ToString() const
{
  return mStartMs ? mId.Value() + "@" + std::to_string(*mStartMs) : mId.Value();
}

} // namespace porttiller
