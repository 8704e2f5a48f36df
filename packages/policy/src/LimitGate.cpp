#include "porttiller/policy/LimitGate.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr Millis kMinRetryAfter{ 200 };
constexpr Millis kMaxRetryAfter{ 5000 };

double
SecondsOf(Micros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// From half to one and a half times aSeconds, so that callers rejected together
// do not retry together.
Millis
JitteredRetryAfter(double aSeconds, std::uint64_t aRandom)
{
  constexpr double kRange = 4294967296.0;
  const double draw = static_cast<double>(aRandom >> 32U) / kRange;
  const std::chrono::duration<double> time(aSeconds * (0.5 + draw));
  const auto longest = std::chrono::duration<double>(kMaxRetryAfter);
  return std::max(kMinRetryAfter,
                  std::chrono::duration_cast<Millis>(std::min(time, longest)));
}

} // namespace

LimitGate::LimitGate(LimitGateOptions aOptions)
  : mOptions(aOptions)
{
}

void
LimitGate::SetBoxes(std::size_t aBoxes)
{
  mBoxes = static_cast<double>(std::max<std::size_t>(1, aBoxes));
}

// Whether grants are valid or within the grace period after their expiry.
bool
LimitGate::GrantsUsable(TimePoint aNow)
{
  if (mGrantsAt && aNow < *mGrantsAt + mOptions.mGrantLifetime) {
    return true;
  }
  mGrantsMissingSince = mGrantsMissingSince.value_or(aNow);
  return aNow < *mGrantsMissingSince + mOptions.mGrantGracePeriod;
}

// The sums of shares start at a random value. Otherwise, entries that see few
// requests would all reject their first one.
LimitGate::State&
LimitGate::StateOf(const WorkspaceName& aWorkspace,
                   TimePoint aNow,
                   std::uint64_t aRandom)
{
  constexpr double kRange = 4294967296.0;
  auto [it, isNew] = mStates.try_emplace(aWorkspace.Value());
  auto& state = it->second;
  if (isNew) {
    state.mUnreported.mWorkspace = aWorkspace;
    state.mShareSums.fill(static_cast<double>(aRandom & 0xffffffffU) / kRange);
  }
  state.mLastUsedAt = aNow;
  return state;
}

LimitVerdict
LimitGate::Offer(const WorkspaceName& aWorkspace,
                 const RequestLimit& aLimit,
                 Priority aPriority,
                 TimePoint aNow,
                 std::uint64_t aRandom)
{
  auto& state = StateOf(aWorkspace, aNow, aRandom);
  const auto priority = static_cast<std::size_t>(aPriority);
  ++state.mUnreported.mOffered.at(priority);
  Refill(state, aLimit, aNow);
  auto verdict = GrantsUsable(aNow)
                   ? OfferByShare(state, priority, aNow, aRandom)
                   : OfferLocally(state, aLimit, aRandom);
  if (verdict.mAdmitted && state.mLimitTokens < 1.0) {
    verdict.mAdmitted = false;
    verdict.mRetryAfter =
      JitteredRetryAfter(1.0 / std::max(aLimit.mRatePerSecond, 1e-6), aRandom);
  }
  if (verdict.mAdmitted) {
    ++state.mUnreported.mAdmitted;
    state.mLocalTokens =
      std::max(-mOptions.mLocalBurst, state.mLocalTokens - 1.0);
    state.mLimitTokens -= 1.0;
  }
  return verdict;
}

// The local bucket is refilled and drained while grants are valid, too, so that
// an entry that loses its collector has no unused burst to add to what it has
// just admitted.
void
LimitGate::Refill(State& aState,
                  const RequestLimit& aLimit,
                  TimePoint aNow) const
{
  const double localBurst =
    std::max(mOptions.mLocalBurst, aLimit.mBurst / mBoxes);
  const double limitBurst =
    aLimit.mBurst +
    mOptions.mToleranceShare * ToleranceOf(aLimit, mOptions.mBounds);
  if (!aState.mRefilledAt) {
    aState.mLocalTokens = localBurst;
    aState.mLimitTokens = limitBurst;
  }
  const double gained =
    aState.mRefilledAt
      ? aLimit.mRatePerSecond * SecondsOf(aNow - *aState.mRefilledAt)
      : 0.0;
  aState.mLocalTokens =
    std::min(localBurst, aState.mLocalTokens + gained / mBoxes);
  aState.mLimitTokens = std::min(limitBurst, aState.mLimitTokens + gained);
  aState.mRefilledAt = aNow;
}

LimitVerdict
LimitGate::OfferByShare(State& aState,
                        std::size_t aPriority,
                        TimePoint aNow,
                        std::uint64_t aRandom) const
{
  const double share = aState.mShares.at(aPriority);
  LimitVerdict verdict{ .mAdmitted = true, .mShare = share };
  if (mGrantsAt) {
    verdict.mAge = std::chrono::duration_cast<Millis>(aNow - *mGrantsAt);
  }
  if (share >= 1.0) {
    return verdict;
  }
  auto& sum = aState.mShareSums.at(aPriority);
  sum += share;
  if (sum >= 1.0) {
    sum -= 1.0;
    return verdict;
  }
  verdict.mAdmitted = false;
  // With this mean delay, retries arrive no faster than the share admits.
  verdict.mRetryAfter =
    JitteredRetryAfter(1.0 / std::max(share, 0.01) - 1.0, aRandom);
  return verdict;
}

LimitVerdict
LimitGate::OfferLocally(const State& aState,
                        const RequestLimit& aLimit,
                        std::uint64_t aRandom) const
{
  LimitVerdict verdict{ .mAdmitted = aState.mLocalTokens >= 1.0,
                        .mShare = 1.0 / mBoxes };
  if (!verdict.mAdmitted) {
    const double rate = aLimit.mRatePerSecond / mBoxes;
    verdict.mRetryAfter = JitteredRetryAfter(
      (1.0 - aState.mLocalTokens) / std::max(rate, 1e-6), aRandom);
  }
  return verdict;
}

void
LimitGate::Refund(const WorkspaceName& aWorkspace)
{
  const auto it = mStates.find(aWorkspace.Value());
  if (it == mStates.end()) {
    return;
  }
  auto& state = it->second;
  --state.mUnreported.mAdmitted;
  state.mLocalTokens += 1.0; // the next Refill caps both buckets
  state.mLimitTokens += 1.0;
}

WorkspaceUses
LimitGate::TakeUnreportedUse(TimePoint aNow)
{
  WorkspaceUses uses;
  for (auto it = mStates.begin(); it != mStates.end();) {
    auto& unreported = it->second.mUnreported;
    const WorkspaceUse nothing{ .mWorkspace = unreported.mWorkspace };
    if (unreported != nothing) {
      uses.push_back(std::exchange(unreported, nothing));
      ++it;
    } else if (it->second.mLastUsedAt + mOptions.mDropIdleAfter < aNow) {
      it = mStates.erase(it);
    } else {
      ++it;
    }
  }
  return uses;
}

void
LimitGate::OnGrants(const WorkspaceGrants& aGrants,
                    bool aWarming,
                    TimePoint aNow)
{
  mGrantsAt = aNow;
  mGrantsMissingSince.reset();
  for (auto& [name, state] : mStates) {
    if (!aWarming) {
      state.mShares.fill(1.0);
    }
  }
  for (const auto& grant : aGrants) {
    auto [it, isNew] = mStates.try_emplace(grant.mWorkspace.Value());
    auto& state = it->second;
    if (isNew) {
      state.mUnreported.mWorkspace = grant.mWorkspace;
      state.mLastUsedAt = aNow;
    }
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      auto& share = state.mShares.at(i);
      share = std::min(share, grant.mShares.at(i));
    }
  }
}

std::string
LimitGate::Dump() const
{
  std::string text = mGrantsMissingSince ? "waiting_for_shares" : "shares";
  for (const auto& [name, state] : mStates) {
    const auto least =
      *std::min_element(state.mShares.begin(), state.mShares.end());
    if (least < 1.0) {
      text += " " + name + "=" + std::to_string(least);
    }
  }
  return text;
}

} // namespace porttiller
