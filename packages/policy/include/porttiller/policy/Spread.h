// Whom a box tells its news, so that few copies cross the border of an
// availability zone: some boxes of each other zone, who tell their neighbours.
#pragma once

#include "porttiller/core/Ids.h"

#include <cstdint>
#include <span>
#include <vector>

namespace porttiller {

struct SpreadOptions
{
  std::size_t mOwnZone = 0;      // boxes of the teller's zone
  std::size_t mPerOtherZone = 0; // boxes of each other zone
};

// Indices into aZones, which holds the zone of each box that may be told.
// aRandom is a uniform 64-bit draw.
std::vector<std::size_t>
ChooseReceivers(std::span<const AvailabilityZone> aZones,
                const AvailabilityZone& aOwnZone,
                const SpreadOptions& aOptions,
                std::uint64_t aRandom);

} // namespace porttiller
