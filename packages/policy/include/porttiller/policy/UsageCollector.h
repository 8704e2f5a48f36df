// Sums up the requests of each workspace over the entries of all zones, and
// grants the share to admit of each workspace near its limit. One box of each
// zone collects for its zone and exchanges sums with the collectors of the
// other zones; a second box of each zone keeps the same sums, so that it can
// take over without a gap.
#pragma once

#include "porttiller/policy/RequestLimit.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace porttiller {

struct UsageCollectorOptions
{
  LimitBounds mBounds;
  // Demand is averaged over this time, and a share has to hold for it: longer
  // than it takes until entries receive a grant and their new counts arrive.
  Millis mHorizon{ 800 };
  // Share of the tolerance (ToleranceOf) that covers requests counted late; the
  // rest covers requests that are never counted. A workspace that briefly
  // exceeds its rate by a little gets more of it than one that sends a multiple
  // of its rate, where late counts cost more.
  double mToleranceAtLowExcess = 0.5;
  double mToleranceAtHighExcess = 0.25;
  // Share of the tolerance that a workspace new to this collector starts with
  // in place of its burst, which it may have used elsewhere.
  double mToleranceAtStart = 0.1;
  // From the first counts until a collector knows the demand.
  Millis mWarmUp{ 1500 };
  Millis mDropIdleAfter{ 30'000 };
};

// Returns null for a workspace without a limit.
using LimitLookup =
  std::function<std::optional<RequestLimit>(const WorkspaceName&)>;

// Not thread-safe: its owner holds the lock.
class UsageCollector
{
public:
  explicit UsageCollector(UsageCollectorOptions aOptions = {});

  // The part, 0 to 1, of each limit and its tolerance that this collector
  // grants. The rest is left to boxes that it cannot reach.
  void SetPart(double aPart) { mPart = aPart; }

  // From entries of this zone.
  void OnEntryUse(const WorkspaceUses& aUses);
  // From a collector of another zone, or from the other collector of this zone.
  void OnZoneUse(const WorkspaceUses& aUses);

  // Counts from entries since the last call, for the other collectors.
  WorkspaceUses TakeZoneUse();

  // Shares of all workspaces that are near their limit, sorted by name.
  WorkspaceGrants Grant(const LimitLookup& aLimits, TimePoint aNow);

  bool Idle() const { return mStates.empty(); }
  // Too new to raise shares that an earlier collector has granted.
  bool Warming(TimePoint aNow) const;
  // One item for each workspace near its limit.
  std::string Dump() const;

private:
  struct State
  {
    WorkspaceUse mZoneUnsent;  // of this zone, not sent to other collectors yet
    WorkspaceUse mUnprocessed; // of all zones, not part of level and demand yet
    // Level of a token bucket, in requests. Negative after more requests were
    // admitted than the limit allows.
    double mLevel = 0.0;
    std::array<double, kPriorityCount> mDemand{}; // requests per second
    double mShare = 1.0;                          // over all priorities
    TimePoint mUpdatedAt;                         // of level and demand
    TimePoint mLastUsedAt;
    bool mInitialized = false; // mUpdatedAt is set
  };

  State& StateOf(const WorkspaceName& aWorkspace);
  void Advance(State& aState, const RequestLimit& aLimit, TimePoint aNow) const;
  double ToleranceShareAt(double aRateMultiple) const;
  std::optional<WorkspaceGrant> GrantOf(State& aState,
                                        const RequestLimit& aLimit) const;

  const UsageCollectorOptions mOptions;
  std::unordered_map<std::string, State> mStates; // by workspace
  double mPart = 1.0;
  std::optional<TimePoint> mActiveSince; // the first grants after it was idle
};

} // namespace porttiller
