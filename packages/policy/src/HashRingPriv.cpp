#include "HashRingPriv.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace porttiller {

HashRing::HashRing(std::vector<BoxName> aBoxes, std::uint64_t aSeed)
  : mSeed(aSeed)
{
  mPlaces.reserve(aBoxes.size());
  for (auto& box : aBoxes) {
    mPlaces.push_back(PlaceOf(std::move(box)));
  }
  std::sort(mPlaces.begin(), mPlaces.end());
}

HashRing::Place
HashRing::PlaceOf(BoxName aBox) const
{
  const auto& name = aBox.Value();
  const auto position = XXH64(name.data(), name.size(), mSeed);
  return { .mPosition = position, .mBox = std::move(aBox) };
}

std::size_t
HashRing::RankOf(const BoxName& aBox) const
{
  const auto place =
    std::lower_bound(mPlaces.begin(), mPlaces.end(), PlaceOf(aBox));
  return static_cast<std::size_t>(place - mPlaces.begin());
}

std::vector<BoxName>
HashRing::Fingers(std::size_t aFirst, std::size_t aMaxCount) const
{
  std::vector<BoxName> fingers;
  for (std::size_t step = 1; step <= Size() && fingers.size() < aMaxCount;
       step *= 2) {
    fingers.push_back(mPlaces[(aFirst + step - 1) % Size()].mBox);
  }
  return fingers;
}

} // namespace porttiller
