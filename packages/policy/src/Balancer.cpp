#include "porttiller/policy/Balancer.h"

#include <vector>

namespace porttiller {

namespace {

constexpr int kHalfDrawBits = 32;

double
Cost(const Candidate& aCandidate, const BalancerOptions& aOptions)
{
  const double load =
    aCandidate.mReportedLoad +
    static_cast<double>(aCandidate.mInFlight) / aCandidate.mSlots;
  return load + (aCandidate.mSameZone ? 0.0 : aOptions.mZonePenalty);
}

std::vector<std::size_t>
WithEligibility(std::span<const Candidate> aCandidates,
                Eligibility aEligibility,
                bool aSameZoneOnly)
{
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mEligibility == aEligibility &&
        (!aSameZoneOnly || aCandidates[i].mSameZone)) {
      indices.push_back(i);
    }
  }
  return indices;
}

std::vector<std::size_t>
TrialsDue(std::span<const Candidate> aCandidates, bool aSameZoneOnly)
{
  auto indices =
    WithEligibility(aCandidates, Eligibility::kOpen, aSameZoneOnly);
  std::erase_if(indices, [&](std::size_t aIndex) {
    return !aCandidates[aIndex].mTrialDue;
  });
  return indices;
}

} // namespace

std::optional<std::size_t>
ChooseTrial(std::span<const Candidate> aCandidates, std::uint64_t aRandom)
{
  auto from = TrialsDue(aCandidates, true);
  if (from.empty()) {
    from = TrialsDue(aCandidates, false);
  }
  return from.empty() ? std::nullopt
                      : std::optional(from[aRandom % from.size()]);
}

std::optional<std::size_t>
ChooseServer(std::span<const Candidate> aCandidates,
             const BalancerOptions& aOptions,
             std::uint64_t aRandom1,
             std::uint64_t aRandom2)
{
  auto all = WithEligibility(aCandidates, Eligibility::kOpen, false);
  auto sameZone = WithEligibility(aCandidates, Eligibility::kOpen, true);
  if (all.empty()) {
    all = WithEligibility(aCandidates, Eligibility::kAvoid, false);
    sameZone = WithEligibility(aCandidates, Eligibility::kAvoid, true);
  }
  if (all.empty()) {
    return std::nullopt;
  }
  const auto& preferred = sameZone.empty() ? all : sameZone;
  auto best = preferred[aRandom1 % preferred.size()];
  // The upper half of a draw serves as an independent draw.
  for (const auto other :
       { preferred[(aRandom1 >> kHalfDrawBits) % preferred.size()],
         all[aRandom2 % all.size()] }) {
    if (Cost(aCandidates[other], aOptions) <
        Cost(aCandidates[best], aOptions)) {
      best = other;
    }
  }
  return best;
}

} // namespace porttiller
