// Admits the requests of workspaces at one entry, so that all entries together
// keep each workspace's rate limit. Counts requests for a collector of its zone
// (UsageCollector), which grants the shares to admit of workspaces near their
// limit; the requests of all others are admitted. This also holds for
// a workspace that spreads several times its limit thinly over all boxes.
#pragma once

#include "porttiller/policy/RequestLimit.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace porttiller {

struct LimitGateOptions
{
  // Grants of a collector expire after this time.
  Millis mGrantLifetime{ 1500 };
  // Expired grants, for example after a time without requests, are used for
  // this time while new ones are pending. After that the entry enforces its
  // local part of each limit.
  Millis mGrantGracePeriod{ 700 };
  // Least burst of the local part, in requests; a local part is often less than
  // one request per second.
  double mLocalBurst = 1.0;
  // Whatever its shares, one entry alone admits no more than the whole limit
  // and mToleranceShare of the tolerance (ToleranceOf).
  LimitBounds mBounds;
  double mToleranceShare = 0.5;
  // Workspaces without a request for this time are dropped.
  Millis mDropIdleAfter{ 30'000 };
};

struct LimitVerdict
{
  bool mAdmitted = false;
  // When not admitted: the time to wait before a retry.
  Millis mRetryAfter{ 0 };
  // The admitted share of this workspace and priority, 0 to 1.
  double mShare = 1.0;
  // Age of the grant; null without a grant, or when the local part of the limit
  // was enforced instead.
  std::optional<Millis> mAge;
};

// Not thread-safe: its owner holds the lock. The caller supplies random draws.
class LimitGate
{
public:
  explicit LimitGate(LimitGateOptions aOptions = {});

  // aRandom: a uniform 64-bit draw.
  LimitVerdict Offer(const WorkspaceName& aWorkspace,
                     const RequestLimit& aLimit,
                     Priority aPriority,
                     TimePoint aNow,
                     std::uint64_t aRandom);
  // Returns the tokens of an admitted request that was not run.
  void Refund(const WorkspaceName& aWorkspace);

  // Returns the counts since the last call and resets them.
  WorkspaceUses TakeUnreportedUse(TimePoint aNow);

  // Grants from a collector; workspaces without a grant are not restricted.
  // aWarming: the collector is warming up, so shares are only lowered.
  void OnGrants(const WorkspaceGrants& aGrants, bool aWarming, TimePoint aNow);
  // The local part of each limit is the limit divided by aBoxes.
  void SetBoxes(std::size_t aBoxes);

  // One item for each workspace with a share below 1.
  std::string Dump() const;

private:
  struct State
  {
    WorkspaceUse mUnreported;
    std::array<double, kPriorityCount> mShares = { 1.0, 1.0, 1.0 };
    // Sum of shares over requests, for each priority; when a sum reaches 1, the
    // request is admitted and 1 is subtracted.
    std::array<double, kPriorityCount> mShareSums{};
    // Token bucket of the local part. Negative when grants admitted more.
    double mLocalTokens = 0.0;
    double mLimitTokens = 0.0; // token bucket of the whole limit
    std::optional<TimePoint> mRefilledAt;
    TimePoint mLastUsedAt;
  };

  State& StateOf(const WorkspaceName& aWorkspace,
                 TimePoint aNow,
                 std::uint64_t aRandom);
  bool GrantsUsable(TimePoint aNow);
  void Refill(State& aState, const RequestLimit& aLimit, TimePoint aNow) const;
  LimitVerdict OfferByShare(State& aState,
                            std::size_t aPriority,
                            TimePoint aNow,
                            std::uint64_t aRandom) const;
  LimitVerdict OfferLocally(const State& aState,
                            const RequestLimit& aLimit,
                            std::uint64_t aRandom) const;

  const LimitGateOptions mOptions;
  std::unordered_map<std::string, State> mStates; // by workspace
  std::optional<TimePoint> mGrantsAt;
  std::optional<TimePoint> mGrantsMissingSince; // since grants expired
  double mBoxes = 1.0;
};

} // namespace porttiller
