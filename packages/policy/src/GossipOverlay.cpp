#include "porttiller/policy/GossipOverlay.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <xxhash.h>

namespace porttiller {

namespace {

// Keeps ring positions independent of other uses of the hash.
constexpr std::uint64_t kOverlaySeed = 0x6f766572;

struct RingPlace
{
  std::uint64_t mPosition = 0;
  const BoxName* mBox = nullptr;
};

std::uint64_t
PositionOf(const BoxName& aBox)
{
  const auto& name = aBox.Value();
  return XXH64(name.data(), name.size(), kOverlaySeed);
}

bool
IsBefore(const RingPlace& aLeft, const RingPlace& aRight)
{
  return std::pair(aLeft.mPosition, *aLeft.mBox) <
         std::pair(aRight.mPosition, *aRight.mBox);
}

// The boxes 1, 2, 4, ... places into the ring from index aFirst on, at most
// aMaxCount.
std::vector<BoxName>
Fingers(const std::vector<RingPlace>& aRing,
        std::size_t aFirst,
        std::size_t aMaxCount)
{
  std::vector<BoxName> fingers;
  for (std::size_t step = 1; step <= aRing.size() && fingers.size() < aMaxCount;
       step *= 2) {
    fingers.push_back(*aRing[(aFirst + step - 1) % aRing.size()].mBox);
  }
  return fingers;
}

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
  std::map<AvailabilityZone, std::vector<RingPlace>> rings;
  for (const auto& box : aBoxes) {
    if (box.mName != mSelf) {
      rings[box.mZone].push_back(
        { .mPosition = PositionOf(box.mName), .mBox = &box.mName });
    }
  }
  for (auto& [zone, ring] : rings) {
    std::sort(ring.begin(), ring.end(), IsBefore);
  }
  const RingPlace self{ .mPosition = PositionOf(mSelf), .mBox = &mSelf };
  const auto& own = rings[mZone];
  const auto rank = static_cast<std::size_t>(
    std::upper_bound(own.begin(), own.end(), self, IsBefore) - own.begin());
  mNeighbors.clear();
  for (const auto& [zone, ring] : rings) {
    const bool inOwnZone = zone == mZone;
    const auto first = inOwnZone ? rank : rank * ring.size() / (own.size() + 1);
    const auto maxCount = inOwnZone ? ring.size() : mOptions.mPerOtherZone;
    mNeighbors.emplace(zone, Fingers(ring, first, maxCount));
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
