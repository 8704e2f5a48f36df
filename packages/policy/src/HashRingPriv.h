// Boxes in the order of a hash of their names, as a ring. Boxes that know the
// same others agree on it.
#pragma once

#include "porttiller/core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace porttiller {

class HashRing
{
public:
  // Rings of different seeds have independent orders.
  HashRing(std::vector<BoxName> aBoxes, std::uint64_t aSeed);

  std::size_t Size() const { return mPlaces.size(); }
  // The number of boxes before aBox, which need not be in the ring.
  std::size_t RankOf(const BoxName& aBox) const;
  // The boxes 1, 2, 4, ... places into the ring from the one with rank aFirst
  // on, at most aMaxCount.
  std::vector<BoxName> Fingers(std::size_t aFirst, std::size_t aMaxCount) const;

private:
  struct Place
  {
    std::uint64_t mPosition = 0;
    BoxName mBox;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Place PlaceOf(BoxName aBox) const;

  std::uint64_t mSeed;
  std::vector<Place> mPlaces; // sorted
};

} // namespace porttiller
