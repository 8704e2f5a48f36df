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

// From half to one and a half times aTime, so that those who are refused
// together do not return together.
Millis
Spread(double aSeconds, std::uint64_t aRandom)
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

// Whether shares hold, also while newer ones are waited for.
bool
LimitGate::Trusted(TimePoint aNow)
{
  if (mGrantsAt && aNow < *mGrantsAt + mOptions.mGrantsLast) {
    return true;
  }
  mWantsSince = mWantsSince.value_or(aNow);
  return aNow < *mWantsSince + mOptions.mPatience;
}

// Shares are summed up from a random start, or entries that see few requests
// would all refuse their first one.
LimitGate::State&
LimitGate::StateOf(const WorkspaceName& aWorkspace,
                   TimePoint aNow,
                   std::uint64_t aRandom)
{
  constexpr double kRange = 4294967296.0;
  auto [it, isNew] = mStates.try_emplace(aWorkspace.Value());
  auto& state = it->second;
  if (isNew) {
    state.mUntold.mWorkspace = aWorkspace;
    state.mPassing.fill(static_cast<double>(aRandom & 0xffffffffU) / kRange);
  }
  state.mUsedAt = aNow;
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
  ++state.mUntold.mOffered.at(priority);
  Fill(state, aLimit, aNow);
  auto verdict = Trusted(aNow) ? OfferShare(state, priority, aNow, aRandom)
                               : OfferOwn(state, aLimit, aRandom);
  if (verdict.mAdmitted && state.mWholeTokens < 1.0) {
    verdict.mAdmitted = false;
    verdict.mRetryAfter =
      Spread(1.0 / std::max(aLimit.mRatePerSecond, 1e-6), aRandom);
  }
  if (verdict.mAdmitted) {
    ++state.mUntold.mAdmitted;
    state.mOwnTokens = std::max(-mOptions.mOwnBurst, state.mOwnTokens - 1.0);
    state.mWholeTokens -= 1.0;
  }
  return verdict;
}

// The own part is kept up while shares hold, too: an entry that loses its
// collector has no burst to spend on top of what it has just let through.
void
LimitGate::Fill(State& aState, const RequestLimit& aLimit, TimePoint aNow) const
{
  const double own = std::max(mOptions.mOwnBurst, aLimit.mBurst / mBoxes);
  const double whole =
    aLimit.mBurst + mOptions.mSpareAlone * SpareOf(aLimit, mOptions.mBounds);
  if (!aState.mFilledAt) {
    aState.mOwnTokens = own;
    aState.mWholeTokens = whole;
  }
  const double gained = aState.mFilledAt ? aLimit.mRatePerSecond *
                                             SecondsOf(aNow - *aState.mFilledAt)
                                         : 0.0;
  aState.mOwnTokens = std::min(own, aState.mOwnTokens + gained / mBoxes);
  aState.mWholeTokens = std::min(whole, aState.mWholeTokens + gained);
  aState.mFilledAt = aNow;
}

LimitVerdict
LimitGate::OfferShare(State& aState,
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
  auto& passing = aState.mPassing.at(aPriority);
  passing += share;
  if (passing >= 1.0) {
    passing -= 1.0;
    return verdict;
  }
  verdict.mAdmitted = false;
  // Those who come back in so many seconds ask for no more than there is.
  verdict.mRetryAfter = Spread(1.0 / std::max(share, 0.01) - 1.0, aRandom);
  return verdict;
}

LimitVerdict
LimitGate::OfferOwn(const State& aState,
                    const RequestLimit& aLimit,
                    std::uint64_t aRandom) const
{
  LimitVerdict verdict{ .mAdmitted = aState.mOwnTokens >= 1.0,
                        .mShare = 1.0 / mBoxes };
  if (!verdict.mAdmitted) {
    const double rate = aLimit.mRatePerSecond / mBoxes;
    verdict.mRetryAfter =
      Spread((1.0 - aState.mOwnTokens) / std::max(rate, 1e-6), aRandom);
  }
  return verdict;
}

void
LimitGate::GiveBack(const WorkspaceName& aWorkspace)
{
  const auto it = mStates.find(aWorkspace.Value());
  if (it == mStates.end()) {
    return;
  }
  auto& state = it->second;
  --state.mUntold.mAdmitted;
  state.mOwnTokens += 1.0; // the next offer keeps both below their most
  state.mWholeTokens += 1.0;
}

WorkspaceUses
LimitGate::TakeUse(TimePoint aNow)
{
  WorkspaceUses uses;
  for (auto it = mStates.begin(); it != mStates.end();) {
    auto& untold = it->second.mUntold;
    const WorkspaceUse nothing{ .mWorkspace = untold.mWorkspace };
    if (untold != nothing) {
      uses.push_back(std::exchange(untold, nothing));
      ++it;
    } else if (it->second.mUsedAt + mOptions.mForgetAfter < aNow) {
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
  mWantsSince.reset();
  for (auto& [name, state] : mStates) {
    if (!aWarming) {
      state.mShares.fill(1.0);
    }
  }
  for (const auto& grant : aGrants) {
    auto [it, isNew] = mStates.try_emplace(grant.mWorkspace.Value());
    auto& state = it->second;
    if (isNew) {
      state.mUntold.mWorkspace = grant.mWorkspace;
      state.mUsedAt = aNow;
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
  std::string text = mWantsSince ? "waiting_for_shares" : "shares";
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
