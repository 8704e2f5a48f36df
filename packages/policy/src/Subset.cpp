#include "porttiller/policy/Subset.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace porttiller {

namespace {

// Keeps ring positions independent of other uses of the hash.
constexpr std::uint64_t kSubsetRingSeed = 0x737562;

std::vector<std::size_t>
OnRing(std::span<const SubsetServer> aServers, bool aSameZone)
{
  std::vector<std::size_t> ring;
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    if (aServers[i].mSameZone == aSameZone) {
      ring.push_back(i);
    }
  }
  std::sort(ring.begin(), ring.end(), [&](auto aLeft, auto aRight) {
    return std::pair(aServers[aLeft].mPlace, aLeft) <
           std::pair(aServers[aRight].mPlace, aRight);
  });
  return ring;
}

// Rotates the ring so that the arcs of all entries cover it evenly.
std::vector<std::size_t>
Rotated(std::vector<std::size_t> aRing, std::size_t aRank, std::size_t aEntries)
{
  if (!aRing.empty()) {
    const auto first =
      aRank * aRing.size() / std::max<std::size_t>(1, aEntries);
    std::rotate(aRing.begin(),
                aRing.begin() +
                  static_cast<std::ptrdiff_t>(first % aRing.size()),
                aRing.end());
  }
  return aRing;
}

} // namespace

std::uint64_t
RingPosition(std::string_view aName)
{
  return XXH64(aName.data(), aName.size(), kSubsetRingSeed);
}

Subset
ChooseSubset(std::span<const SubsetServer> aServers,
             const SubsetEntry& aEntry,
             const SubsetOptions& aOptions)
{
  const auto near =
    Rotated(OnRing(aServers, true), aEntry.mRank, aEntry.mEntries);
  const auto far =
    Rotated(OnRing(aServers, false), aEntry.mRank, aEntry.mEntries);
  // If one group has too few servers, more of the other fill the subset.
  const auto all = aOptions.mOwnZone + aOptions.mOtherZones;
  const auto fromNear = std::min(
    near.size(), std::max(aOptions.mOwnZone, all - std::min(all, far.size())));
  const auto fromFar = std::min(far.size(), all - std::min(all, fromNear));
  Subset subset{ .mSize = fromNear + fromFar };
  const auto take =
    [&](const auto& aFrom, std::size_t aBegin, std::size_t aEnd) {
      subset.mOrder.insert(subset.mOrder.end(),
                           aFrom.begin() + static_cast<std::ptrdiff_t>(aBegin),
                           aFrom.begin() + static_cast<std::ptrdiff_t>(aEnd));
    };
  take(near, 0, fromNear);
  take(far, 0, fromFar);
  take(near, fromNear, near.size());
  take(far, fromFar, far.size());
  return subset;
}

} // namespace porttiller
