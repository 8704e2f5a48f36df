// Chooses the boxes to which a box sends an update so that few copies cross
// zone boundaries: a few boxes of each other zone receive it and forward it
// within their zone.
#pragma once

#include "porttiller/core/Ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace porttiller {

struct GossipFanout
{
  std::size_t mOwnZone = 0;      // receivers in the sender's zone
  std::size_t mPerOtherZone = 0; // receivers in each other zone
};

// Returns indices into aZones, which holds the zone of each candidate. aRandom
// is a uniform 64-bit draw.
std::vector<std::size_t>
ChooseReceivers(std::span<const AvailabilityZone> aZones,
                const AvailabilityZone& aOwnZone,
                const GossipFanout& aFanout,
                std::uint64_t aRandom);

} // namespace porttiller
