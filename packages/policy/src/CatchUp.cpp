#include "porttiller/policy/CatchUp.h"

#include <algorithm>
#include <utility>

namespace porttiller {

CatchUp::CatchUp(CatchUpOptions aOptions)
  : mOptions(aOptions)
{
}

void
CatchUp::OnAnnounced(const std::string& aPeer, std::uint64_t aRevision)
{
  auto& candidate = mCandidates[aPeer];
  candidate.mRevision = std::max(candidate.mRevision, aRevision);
  if (mCandidates.size() > mOptions.mMaxCandidates) {
    mCandidates.erase(std::min_element(
      mCandidates.begin(),
      mCandidates.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mRevision < aRight.second.mRevision;
      }));
  }
}

void
CatchUp::OnEnded(const std::string& aPeer,
                 bool aAnswered,
                 std::uint64_t aHeldRevision)
{
  mPending.erase(aPeer);
  const auto it = mCandidates.find(aPeer);
  if (it == mCandidates.end()) {
    return;
  }
  const bool advanced =
    std::exchange(it->second.mHeldAfterAnswer, aHeldRevision) != aHeldRevision;
  if (!aAnswered || !advanced) {
    mCandidates.erase(it);
  }
}

std::vector<std::string>
CatchUp::Next(std::uint64_t aHeldRevision)
{
  std::erase_if(mCandidates, [&](const auto& aItem) {
    return aItem.second.mRevision <= aHeldRevision;
  });
  std::vector<std::pair<std::uint64_t, std::string>> candidates;
  for (const auto& [peer, candidate] : mCandidates) {
    if (!mPending.contains(peer)) {
      candidates.emplace_back(candidate.mRevision, peer);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  std::vector<std::string> next;
  for (const auto& [revision, peer] : candidates) {
    if (mPending.size() >= mOptions.mMaxPending) {
      break;
    }
    mPending.insert(peer);
    next.push_back(peer);
  }
  return next;
}

std::uint64_t
CatchUp::Newest() const
{
  std::uint64_t newest = 0;
  for (const auto& [peer, candidate] : mCandidates) {
    newest = std::max(newest, candidate.mRevision);
  }
  return newest;
}

} // namespace porttiller
