#include "porttiller/config/DirectoryExchange.h"

#include <limits>

namespace porttiller {

namespace {

constexpr auto kAllOnes = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kHashBits = 64;

} // namespace

std::uint64_t
HashRange::Last() const
{
  return mFirst | (kAllOnes >> mBits);
}

HashRange
HashRange::Part(std::size_t aIndex) const
{
  const auto bits = mBits + kBitsPerLevel;
  return { .mFirst = mFirst |
                     (static_cast<std::uint64_t>(aIndex) << (kHashBits - bits)),
           .mBits = bits };
}

bool
HashRange::IsLeaf() const
{
  return mBits >= kMaxBits;
}

bool
HashRange::IsValid() const
{
  return mBits <= kMaxBits && mBits % kBitsPerLevel == 0 &&
         (mFirst & (kAllOnes >> mBits)) == 0;
}

} // namespace porttiller
