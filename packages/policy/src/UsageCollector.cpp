#include "porttiller/policy/UsageCollector.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace porttiller {

namespace {

// Of what may pass, so much goes to all priorities alike; the more urgent ones
// take what they need of the rest.
constexpr double kCommonPart = 0.5;
// However far a limit was passed, so much of its rate stays.
constexpr double kLeastRate = 0.2;

void
Add(const WorkspaceUse& aUse, WorkspaceUse& aSum)
{
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    aSum.mOffered.at(i) += aUse.mOffered.at(i);
  }
  aSum.mAdmitted += aUse.mAdmitted;
}

double
SecondsOf(Micros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
SumOf(const std::array<double, kPriorityCount>& aParts)
{
  return std::accumulate(aParts.begin(), aParts.end(), 0.0);
}

} // namespace

UsageCollector::UsageCollector(UsageCollectorOptions aOptions)
  : mOptions(aOptions)
{
}

UsageCollector::State&
UsageCollector::StateOf(const WorkspaceName& aWorkspace)
{
  auto [it, isNew] = mStates.try_emplace(aWorkspace.Value());
  if (isNew) {
    it->second.mZone.mWorkspace = aWorkspace;
    it->second.mNew.mWorkspace = aWorkspace;
  }
  return it->second;
}

void
UsageCollector::OnEntryUse(const WorkspaceUses& aUses)
{
  for (const auto& use : aUses) {
    auto& state = StateOf(use.mWorkspace);
    Add(use, state.mZone);
    Add(use, state.mNew);
  }
}

void
UsageCollector::OnZoneUse(const WorkspaceUses& aUses)
{
  for (const auto& use : aUses) {
    Add(use, StateOf(use.mWorkspace).mNew);
  }
}

WorkspaceUses
UsageCollector::TakeZoneUse()
{
  WorkspaceUses uses;
  for (auto& [name, state] : mStates) {
    const WorkspaceUse nothing{ .mWorkspace = state.mZone.mWorkspace };
    if (state.mZone != nothing) {
      uses.push_back(std::exchange(state.mZone, nothing));
    }
  }
  return uses;
}

bool
UsageCollector::Warming(TimePoint aNow) const
{
  return !mSince || aNow < *mSince + mOptions.mWarmUp;
}

void
UsageCollector::Advance(State& aState,
                        const RequestLimit& aLimit,
                        TimePoint aNow) const
{
  const WorkspaceUse nothing{ .mWorkspace = aState.mNew.mWorkspace };
  if (!aState.mKnown) {
    aState.mKnown = true;
    aState.mLevel =
      mPart * mOptions.mSpareAtStart * SpareOf(aLimit, mOptions.mBounds);
    aState.mAt = aNow;
    aState.mUsedAt = aNow;
  }
  if (aState.mNew != nothing) {
    aState.mUsedAt = aNow;
  }
  const double passed = SecondsOf(aNow - aState.mAt);
  aState.mAt = aNow;
  aState.mLevel =
    std::min(mPart * aLimit.mBurst,
             aState.mLevel + passed * mPart * aLimit.mRatePerSecond) -
    aState.mNew.mAdmitted;
  const double horizon = SecondsOf(mOptions.mHorizon);
  const double kept = std::exp(-passed / horizon);
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    auto& demand = aState.mDemand.at(i);
    demand = demand * kept + aState.mNew.mOffered.at(i) / horizon;
  }
  aState.mNew = nothing;
}

// Of what is spare, for a workspace that sends so many times its rate.
double
UsageCollector::SpareShare(double aTimes) const
{
  constexpr double kLittle = 1.5;
  constexpr double kMuch = 3.0;
  const double part =
    std::clamp((aTimes - kLittle) / (kMuch - kLittle), 0.0, 1.0);
  return mOptions.mSpareForLittle +
         part * (mOptions.mSpareForMuch - mOptions.mSpareForLittle);
}

std::optional<WorkspaceGrant>
UsageCollector::GrantOf(State& aState, const RequestLimit& aLimit) const
{
  const double horizon = SecondsOf(mOptions.mHorizon);
  const double rated = mPart * aLimit.mRatePerSecond * horizon;
  const double demand = SumOf(aState.mDemand) * horizon;
  const double spare = mPart * SpareShare(demand / std::max(rated, 1e-9)) *
                       SpareOf(aLimit, mOptions.mBounds);
  const double room =
    std::max(kLeastRate * rated, aState.mLevel + spare + rated);
  aState.mShare = demand <= room ? 1.0 : room / demand;
  if (aState.mShare >= 1.0) {
    return std::nullopt;
  }
  const double common = kCommonPart * aState.mShare;
  double left = room - common * demand;
  WorkspaceGrant grant{ .mWorkspace = aState.mNew.mWorkspace };
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const double wanted = aState.mDemand.at(i) * horizon;
    const double given = std::min(left, (1.0 - common) * wanted);
    grant.mShares.at(i) = common + (wanted > 0.0 ? given / wanted : 0.0);
    left -= given;
  }
  return grant;
}

WorkspaceGrants
UsageCollector::Grant(const LimitSource& aLimits, TimePoint aNow)
{
  WorkspaceGrants grants;
  mSince = Idle() ? std::nullopt : std::optional(mSince.value_or(aNow));
  for (auto it = mStates.begin(); it != mStates.end();) {
    auto& state = it->second;
    const auto limit = aLimits(state.mNew.mWorkspace);
    if (!limit ||
        (state.mKnown && state.mUsedAt + mOptions.mForgetAfter < aNow)) {
      it = mStates.erase(it);
      continue;
    }
    Advance(state, *limit, aNow);
    if (const auto grant = GrantOf(state, *limit)) {
      grants.push_back(*grant);
    }
    ++it;
  }
  std::sort(grants.begin(),
            grants.end(),
            [](const WorkspaceGrant& aLeft, const WorkspaceGrant& aRight) {
              return aLeft.mWorkspace < aRight.mWorkspace;
            });
  return grants;
}

std::string
UsageCollector::Dump() const
{
  std::string text;
  for (const auto& [name, state] : mStates) {
    if (state.mShare < 1.0) {
      text += (text.empty() ? "" : " ") + name +
              ":share=" + std::to_string(state.mShare) +
              ",level=" + std::to_string(state.mLevel) +
              ",demand_per_s=" + std::to_string(SumOf(state.mDemand));
    }
  }
  return text;
}

} // namespace porttiller
