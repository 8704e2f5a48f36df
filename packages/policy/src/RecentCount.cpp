#include "porttiller/policy/RecentCount.h"

namespace porttiller {

void
RecentCount::Add(TimePoint aNow)
{
  const auto number = ToMillis(aNow) / kPart.count();
  auto& part = mParts.at(static_cast<std::size_t>(number) % mParts.size());
  if (part.mNumber != number) {
    part = { .mNumber = number };
  }
  ++part.mCount;
}

int
RecentCount::Count(TimePoint aNow) const
{
  const auto oldest = (ToMillis(aNow) - kWindow.count()) / kPart.count();
  int count = 0;
  for (const auto& part : mParts) {
    count += part.mNumber >= oldest ? part.mCount : 0;
  }
  return count;
}

} // namespace porttiller
