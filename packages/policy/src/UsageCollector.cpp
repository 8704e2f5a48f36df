#include "porttiller/policy/UsageCollector.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace porttiller {

namespace {

// Fraction of the admitted share that all priorities get alike; the rest goes
// to the most urgent ones first.
constexpr double kCommonFraction = 0.5;
// Fraction of the rate that stays available however far a limit was exceeded.
constexpr double kMinRateFraction = 0.2;

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
    it->second.mZoneUnsent.mWorkspace = aWorkspace;
    it->second.mUnprocessed.mWorkspace = aWorkspace;
  }
  return it->second;
}

void
UsageCollector::OnEntryUse(const WorkspaceUses& aUses)
{
  for (const auto& use : aUses) {
    auto& state = StateOf(use.mWorkspace);
    Add(use, state.mZoneUnsent);
    Add(use, state.mUnprocessed);
  }
}

void
UsageCollector::OnZoneUse(const WorkspaceUses& aUses)
{
  for (const auto& use : aUses) {
    Add(use, StateOf(use.mWorkspace).mUnprocessed);
  }
}

WorkspaceUses
UsageCollector::TakeZoneUse()
{
  WorkspaceUses uses;
  for (auto& [name, state] : mStates) {
    const WorkspaceUse nothing{ .mWorkspace = state.mZoneUnsent.mWorkspace };
    if (state.mZoneUnsent != nothing) {
      uses.push_back(std::exchange(state.mZoneUnsent, nothing));
    }
  }
  return uses;
}

bool
UsageCollector::Warming(TimePoint aNow) const
{
  return !mActiveSince || aNow < *mActiveSince + mOptions.mWarmUp;
}

void
UsageCollector::Advance(State& aState,
                        const RequestLimit& aLimit,
                        TimePoint aNow) const
{
  const WorkspaceUse nothing{ .mWorkspace = aState.mUnprocessed.mWorkspace };
  if (!aState.mInitialized) {
    aState.mInitialized = true;
    aState.mLevel = mPart * mOptions.mToleranceAtStart *
                    ToleranceOf(aLimit, mOptions.mBounds);
    aState.mUpdatedAt = aNow;
    aState.mLastUsedAt = aNow;
  }
  if (aState.mUnprocessed != nothing) {
    aState.mLastUsedAt = aNow;
  }
  const double elapsed = SecondsOf(aNow - aState.mUpdatedAt);
  aState.mUpdatedAt = aNow;
  aState.mLevel =
    std::min(mPart * aLimit.mBurst,
             aState.mLevel + elapsed * mPart * aLimit.mRatePerSecond) -
    aState.mUnprocessed.mAdmitted;
  const double horizon = SecondsOf(mOptions.mHorizon);
  const double decay = std::exp(-elapsed / horizon);
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    auto& demand = aState.mDemand.at(i);
    demand = demand * decay + aState.mUnprocessed.mOffered.at(i) / horizon;
  }
  aState.mUnprocessed = nothing;
}

// Share of the tolerance for a workspace that sends aRateMultiple times its
// rate.
double
UsageCollector::ToleranceShareAt(double aRateMultiple) const
{
  constexpr double kLowExcess = 1.5;
  constexpr double kHighExcess = 3.0;
  const double part = std::clamp(
    (aRateMultiple - kLowExcess) / (kHighExcess - kLowExcess), 0.0, 1.0);
  return mOptions.mToleranceAtLowExcess +
         part *
           (mOptions.mToleranceAtHighExcess - mOptions.mToleranceAtLowExcess);
}

std::optional<WorkspaceGrant>
UsageCollector::GrantOf(State& aState, const RequestLimit& aLimit) const
{
  const double horizon = SecondsOf(mOptions.mHorizon);
  const double rateAllowance = mPart * aLimit.mRatePerSecond * horizon;
  const double demand = SumOf(aState.mDemand) * horizon;
  const double tolerance =
    mPart * ToleranceShareAt(demand / std::max(rateAllowance, 1e-9)) *
    ToleranceOf(aLimit, mOptions.mBounds);
  const double allowance = std::max(kMinRateFraction * rateAllowance,
                                    aState.mLevel + tolerance + rateAllowance);
  aState.mShare = demand <= allowance ? 1.0 : allowance / demand;
  if (aState.mShare >= 1.0) {
    return std::nullopt;
  }
  const double common = kCommonFraction * aState.mShare;
  double remaining = allowance - common * demand;
  WorkspaceGrant grant{ .mWorkspace = aState.mUnprocessed.mWorkspace };
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const double wanted = aState.mDemand.at(i) * horizon;
    const double given = std::min(remaining, (1.0 - common) * wanted);
    grant.mShares.at(i) = common + (wanted > 0.0 ? given / wanted : 0.0);
    remaining -= given;
  }
  return grant;
}

WorkspaceGrants
UsageCollector::Grant(const LimitLookup& aLimits, TimePoint aNow)
{
  WorkspaceGrants grants;
  mActiveSince =
    Idle() ? std::nullopt : std::optional(mActiveSince.value_or(aNow));
  for (auto it = mStates.begin(); it != mStates.end();) {
    auto& state = it->second;
    const auto limit = aLimits(state.mUnprocessed.mWorkspace);
    if (!limit || (state.mInitialized &&
                   state.mLastUsedAt + mOptions.mDropIdleAfter < aNow)) {
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
