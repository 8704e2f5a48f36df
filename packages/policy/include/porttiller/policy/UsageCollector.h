// Sums up what the entries of all zones let through for each workspace, and
// grants shares of those that are near their limit. One box of each zone
// collects for its zone and exchanges sums with the collectors of the others; a
// second one of each zone keeps the same sums, to follow it without a gap.
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
  // Demand is measured over this time, and a share is right for so long: more
  // than it takes until entries hear of it and their counts come back.
  Millis mHorizon{ 800 };
  // Of the spare requests of a window, those used for what is counted late. The
  // rest stays for what is not counted at all. A workspace that sends a little
  // more than its rate for a moment gets more of them than one that sends a
  // multiple of it, where being late costs more.
  double mSpareForLittle = 0.5;
  double mSpareForMuch = 0.25;
  // Of the spare requests, what a workspace that is new here starts with: it
  // may have used its burst elsewhere.
  double mSpareAtStart = 0.1;
  // From its first counts on, until a collector knows what is asked for.
  Millis mWarmUp{ 1500 };
  Millis mForgetAfter{ 30'000 };
};

// Null for a workspace without a limit.
using LimitSource =
  std::function<std::optional<RequestLimit>(const WorkspaceName&)>;

// Not thread-safe: its owner holds the lock.
class UsageCollector
{
public:
  explicit UsageCollector(UsageCollectorOptions aOptions = {});

  // Of each limit and of what is spare, this collector deals out such a part.
  // The rest is left to boxes that it cannot hear.
  void SetPart(double aPart) { mPart = aPart; }

  // From entries of the own zone.
  void OnEntryUse(const WorkspaceUses& aUses);
  // From a collector of another zone, or the other one of this zone.
  void OnZoneUse(const WorkspaceUses& aUses);

  // What entries told since the last call, for the other collectors.
  WorkspaceUses TakeZoneUse();

  // Shares of all workspaces that are near their limit, sorted by name.
  WorkspaceGrants Grant(const LimitSource& aLimits, TimePoint aNow);

  bool Idle() const { return mStates.empty(); }
  // Too new to lift shares that an earlier collector has granted.
  bool Warming(TimePoint aNow) const;
  // A line for each workspace near its limit.
  std::string Dump() const;

private:
  struct State
  {
    WorkspaceUse mZone; // of this zone's entries, not yet told to others
    WorkspaceUse mNew;  // of all zones, not yet taken into account
    // As of a token bucket: what may pass now besides the rate. Below zero, so
    // many have passed too many.
    double mLevel = 0.0;
    std::array<double, kPriorityCount> mDemand{}; // requests a second
    double mShare = 1.0;                          // over all priorities
    TimePoint mAt;                                // when these were right
    TimePoint mUsedAt;
    bool mKnown = false; // mAt is set
  };

  State& StateOf(const WorkspaceName& aWorkspace);
  void Advance(State& aState, const RequestLimit& aLimit, TimePoint aNow) const;
  double SpareShare(double aTimes) const;
  std::optional<WorkspaceGrant> GrantOf(State& aState,
                                        const RequestLimit& aLimit) const;

  const UsageCollectorOptions mOptions;
  std::unordered_map<std::string, State> mStates; // by workspace
  double mPart = 1.0;
  std::optional<TimePoint> mSince; // the first grants after it was idle
};

} // namespace porttiller
