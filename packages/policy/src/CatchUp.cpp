#include "porttiller/policy/CatchUp.h"

#include <algorithm>
#include <utility>

namespace porttiller {

CatchUp::CatchUp(CatchUpOptions aOptions)
  : mOptions(aOptions)
{
}

void
CatchUp::OnHeard(const std::string& aPeer, std::uint64_t aRevision)
{
  auto& known = mKnown[aPeer];
  known.mRevision = std::max(known.mRevision, aRevision);
  if (mKnown.size() > mOptions.mMaxKnown) {
    mKnown.erase(std::min_element(
      mKnown.begin(), mKnown.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mRevision < aRight.second.mRevision;
      }));
  }
}

void
CatchUp::OnEnded(const std::string& aPeer, bool aAnswered, std::uint64_t aHeld)
{
  mOpen.erase(aPeer);
  const auto it = mKnown.find(aPeer);
  if (it == mKnown.end()) {
    return;
  }
  const bool moved = std::exchange(it->second.mHeldThen, aHeld) != aHeld;
  if (!aAnswered || !moved) {
    mKnown.erase(it);
  }
}

std::vector<std::string>
CatchUp::Next(std::uint64_t aHeld)
{
  std::erase_if(
    mKnown, [&](const auto& aItem) { return aItem.second.mRevision <= aHeld; });
  std::vector<std::pair<std::uint64_t, std::string>> candidates;
  for (const auto& [peer, known] : mKnown) {
    if (!mOpen.contains(peer)) {
      candidates.emplace_back(known.mRevision, peer);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  std::vector<std::string> next;
  for (const auto& [revision, peer] : candidates) {
    if (mOpen.size() >= mOptions.mMaxOpen) {
      break;
    }
    mOpen.insert(peer);
    next.push_back(peer);
  }
  return next;
}

std::uint64_t
CatchUp::Newest() const
{
  std::uint64_t newest = 0;
  for (const auto& [peer, known] : mKnown) {
    newest = std::max(newest, known.mRevision);
  }
  return newest;
}

} // namespace porttiller
