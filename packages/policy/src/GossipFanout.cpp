#include "porttiller/policy/GossipFanout.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

namespace porttiller {

std::vector<std::size_t>
ChooseReceivers(std::span<const AvailabilityZone> aZones,
                const AvailabilityZone& aOwnZone,
                const GossipFanout& aFanout,
                std::uint64_t aRandom)
{
  std::vector<std::size_t> order(aZones.size());
  std::iota(order.begin(), order.end(), 0);
  std::mt19937_64 generator(aRandom);
  std::shuffle(order.begin(), order.end(), generator);
  std::map<AvailabilityZone, std::size_t> taken;
  std::vector<std::size_t> receivers;
  for (const auto index : order) {
    const auto& zone = aZones[index];
    const auto limit =
      zone == aOwnZone ? aFanout.mOwnZone : aFanout.mPerOtherZone;
    if (taken[zone] < limit) {
      ++taken[zone];
      receivers.push_back(index);
    }
  }
  return receivers;
}

} // namespace porttiller
