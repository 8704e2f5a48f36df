// Rendezvous hashing: every node that knows the same boxes names the same
// owner, without an election. Source: Thaler and Ravishankar, 1998.
#pragma once

#include "porttiller/core/Ids.h"

#include <string_view>
#include <vector>

namespace porttiller {

// The aCount boxes that own aKey, best first; fewer when there are fewer.
std::vector<BoxName>
RendezvousOwners(std::string_view aKey,
                 const std::vector<BoxName>& aBoxes,
                 std::size_t aCount);

} // namespace porttiller
