#include "porttiller/policy/GossipOverlay.h"

#include "HashRingPriv.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace porttiller {

namespace {

// Keeps ring positions independent of other uses of the hash.
constexpr std::uint64_t kOverlaySeed = 0x6f766572;

} // namespace

GossipOverlay::GossipOverlay(BoxName aSelf,
                             AvailabilityZone aZone,
                             GossipOverlayOptions aOptions)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mOptions(aOptions)
{
}

void
GossipOverlay::SetBoxes(const std::vector<OverlayBox>& aBoxes)
{
  std::map<AvailabilityZone, std::vector<BoxName>> boxes;
  for (const auto& box : aBoxes) {
    if (box.mName != mSelf) {
      boxes[box.mZone].push_back(box.mName);
    }
  }
  const HashRing own(std::move(boxes[mZone]), kOverlaySeed);
  boxes.erase(mZone);
  const auto rank = own.RankOf(mSelf);
  mNeighbors.clear();
  mNeighbors.emplace(mZone, own.Fingers(rank, own.Size()));
  for (auto& [zone, names] : boxes) {
    const HashRing ring(std::move(names), kOverlaySeed);
    const auto first = rank * ring.Size() / (own.Size() + 1);
    mNeighbors.emplace(zone, ring.Fingers(first, mOptions.mPerOtherZone));
  }
}

std::vector<BoxName>
GossipOverlay::Receivers(const GossipFanout& aFanout,
                         std::uint64_t aRandom) const
{
  std::mt19937_64 generator(aRandom);
  std::vector<BoxName> receivers;
  for (const auto& [zone, neighbors] : mNeighbors) {
    const bool own = zone == mZone;
    const auto count = std::min(own ? aFanout.mOwnZone : aFanout.mPerOtherZone,
                                neighbors.size());
    if (count == 0) {
      continue;
    }
    const auto drawn = std::next(neighbors.begin(), own ? 1 : 0);
    receivers.insert(receivers.end(), neighbors.begin(), drawn);
    std::sample(drawn,
                neighbors.end(),
                std::back_inserter(receivers),
                count - (own ? 1U : 0U),
                generator);
  }
  return receivers;
}

std::vector<BoxName>
GossipOverlay::Neighbors() const
{
  std::vector<BoxName> boxes;
  for (const auto& [zone, neighbors] : mNeighbors) {
    boxes.insert(boxes.end(), neighbors.begin(), neighbors.end());
  }
  return boxes;
}

} // namespace porttiller
