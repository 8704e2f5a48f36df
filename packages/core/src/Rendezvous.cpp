#include "porttiller/core/Rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace porttiller {

namespace {

struct Scored
{
  std::uint64_t mScore;
  const BoxName* mBox;
};

std::uint64_t
Score(std::string_view aKey, const BoxName& aBox)
{
  const auto seed = XXH64(aKey.data(), aKey.size(), 0);
  return XXH64(aBox.Value().data(), aBox.Value().size(), seed);
}

} // namespace

std::vector<BoxName>
RendezvousOwners(std::string_view aKey,
                 const std::vector<BoxName>& aBoxes,
                 std::size_t aCount)
{
  std::vector<Scored> scored;
  scored.reserve(aBoxes.size());
  for (const auto& box : aBoxes) {
    scored.push_back({ Score(aKey, box), &box });
  }
  const auto count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const Scored& aLeft, const Scored& aRight) {
                      return aLeft.mScore > aRight.mScore;
                    });
  std::vector<BoxName> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.push_back(*scored[i].mBox);
  }
  return owners;
}

} // namespace porttiller
