#include "porttiller/policy/Balancer.h"

#include <vector>

namespace porttiller {

namespace {

double
Cost(const Candidate& aCandidate, const BalancerOptions& aOptions)
{
  const double load =
    aCandidate.mReportedLoad +
    static_cast<double>(aCandidate.mInFlight) / aCandidate.mSlots;
  return load + (aCandidate.mSameZone ? 0.0 : aOptions.mZonePenalty);
}

std::vector<std::size_t>
WithStanding(std::span<const Candidate> aCandidates,
             Standing aStanding,
             bool aSameZoneOnly)
{
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mStanding == aStanding &&
        (!aSameZoneOnly || aCandidates[i].mSameZone)) {
      indices.push_back(i);
    }
  }
  return indices;
}

} // namespace

std::optional<std::size_t>
ChooseServer(std::span<const Candidate> aCandidates,
             const BalancerOptions& aOptions,
             std::uint64_t aRandom1,
             std::uint64_t aRandom2)
{
  auto all = WithStanding(aCandidates, Standing::kOpen, false);
  auto near = WithStanding(aCandidates, Standing::kOpen, true);
  if (all.empty()) {
    all = WithStanding(aCandidates, Standing::kAvoid, false);
    near = WithStanding(aCandidates, Standing::kAvoid, true);
  }
  if (all.empty()) {
    return std::nullopt;
  }
  const auto& first = near.empty() ? all : near;
  const auto one = first[aRandom1 % first.size()];
  const auto two = all[aRandom2 % all.size()];
  const bool oneIsCheaper =
    Cost(aCandidates[one], aOptions) <= Cost(aCandidates[two], aOptions);
  return oneIsCheaper ? one : two;
}

} // namespace porttiller
