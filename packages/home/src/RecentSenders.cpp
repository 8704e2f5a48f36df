#include "porttiller/home/RecentSenders.h"

#include <algorithm>

namespace porttiller {

void
RecentSenders::OnRequest(const BoxName& aBox, TimePoint aNow)
{
  mLast[aBox] = aNow;
  if (mLast.size() > kMaxBoxes) {
    DropOldest();
  }
}

void
RecentSenders::DropOldest()
{
  const auto oldest = std::min_element(
    mLast.begin(), mLast.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  mLast.erase(oldest);
}

std::vector<BoxName>
RecentSenders::All() const
{
  std::vector<BoxName> boxes;
  for (const auto& [box, at] : mLast) {
    boxes.push_back(box);
  }
  return boxes;
}

std::vector<BoxName>
RecentSenders::Since(TimePoint aNow) const
{
  std::vector<BoxName> boxes;
  for (const auto& [box, at] : mLast) {
    if (aNow - at <= kMemory) {
      boxes.push_back(box);
    }
  }
  return boxes;
}

} // namespace porttiller
