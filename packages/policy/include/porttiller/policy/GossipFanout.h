// How many boxes of each zone receive a message. Few copies cross zone
// boundaries: a few boxes of each other zone receive it and forward it within
// their zone.
#pragma once

#include <cstddef>

namespace porttiller {

struct GossipFanout
{
  std::size_t mOwnZone = 0;      // receivers in the sender's zone
  std::size_t mPerOtherZone = 0; // receivers in each other zone
};

} // namespace porttiller
