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

std::size_t
RecentSenders::CountSince(TimePoint aNow) const
{
  const auto count =
    std::count_if(mLast.begin(), mLast.end(), [&](const auto& aSender) {
      return aNow - aSender.second <= kMemory;
    });
  return static_cast<std::size_t>(count);
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
