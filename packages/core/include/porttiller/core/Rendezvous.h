// Rendezvous hashing (Thaler and Ravishankar, 1998): nodes that know the same
// boxes choose the same owners of a key, without an election.
#pragma once

#include "porttiller/core/Ids.h"

#include <string_view>
#include <vector>

namespace porttiller {

// The aCount boxes that own aKey, highest score first. Returns every box when
// aBoxes has fewer.
std::vector<BoxName>
RendezvousOwners(std::string_view aKey,
                 const std::vector<BoxName>& aBoxes,
                 std::size_t aCount);

} // namespace porttiller
