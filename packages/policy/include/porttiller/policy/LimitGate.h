// Lets requests of workspaces through at one entry, so that all entries
// together keep each workspace's limit. Counts what it sees for a collector of
// its zone (UsageCollector), which grants shares of workspaces that are near
// their limit; all others pass. Load pattern: a customer who sends several
// times its limit, in small parts through every box.
#pragma once

#include "porttiller/policy/RequestLimit.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace porttiller {

struct LimitGateOptions
{
  // Shares hold for so long after a collector has granted them.
  Millis mGrantsLast{ 1500 };
  // An entry whose shares are too old, after a rest say, uses them for so long;
  // after that it keeps to its own part of each limit.
  Millis mPatience{ 700 };
  // Requests that its own part lets through after a rest; a part is often less
  // than one request a second.
  double mOwnBurst = 1.0;
  // Beside its shares, an entry alone lets no more through than the whole limit
  // and so much of what is spare.
  LimitBounds mBounds;
  double mSpareAlone = 0.5;
  // Workspaces without a request for so long are forgotten.
  Millis mForgetAfter{ 30'000 };
};

struct LimitVerdict
{
  bool mAdmitted = false;
  // Not admitted: when there may be room.
  Millis mRetryAfter{ 0 };
  // What was let through of this workspace and priority.
  double mShare = 1.0;
  // How old that was; null where there was none, or it is too old and the gate
  // kept to its own part.
  std::optional<Millis> mAge;
};

// Not thread-safe: its owner holds the lock. Random draws come in.
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
  // An admitted request was not run.
  void GiveBack(const WorkspaceName& aWorkspace);

  // What has not been told yet; it counts as told from now on.
  WorkspaceUses TakeUse(TimePoint aNow);

  // From a collector: workspaces that it does not name pass. One that warms
  // up lowers shares only.
  void OnGrants(const WorkspaceGrants& aGrants, bool aWarming, TimePoint aNow);
  // Of a limit, the part of this entry by itself: one of so many boxes.
  void SetBoxes(std::size_t aBoxes);

  // A line for each workspace whose requests are held to a share.
  std::string Dump() const;

private:
  struct State
  {
    WorkspaceUse mUntold;
    std::array<double, kPriorityCount> mShares = { 1.0, 1.0, 1.0 };
    // Of shares, summed up: a request passes at each whole one.
    std::array<double, kPriorityCount> mPassing{};
    double mOwnTokens = 0.0;   // of its own part; below zero: it took more
    double mWholeTokens = 0.0; // of the whole limit
    std::optional<TimePoint> mFilledAt; // when both were right
    TimePoint mUsedAt;
  };

  State& StateOf(const WorkspaceName& aWorkspace,
                 TimePoint aNow,
                 std::uint64_t aRandom);
  bool Trusted(TimePoint aNow);
  void Fill(State& aState, const RequestLimit& aLimit, TimePoint aNow) const;
  LimitVerdict OfferShare(State& aState,
                          std::size_t aPriority,
                          TimePoint aNow,
                          std::uint64_t aRandom) const;
  LimitVerdict OfferOwn(const State& aState,
                        const RequestLimit& aLimit,
                        std::uint64_t aRandom) const;

  const LimitGateOptions mOptions;
  std::unordered_map<std::string, State> mStates; // by workspace
  std::optional<TimePoint> mGrantsAt;
  std::optional<TimePoint> mWantsSince; // newer ones
  double mBoxes = 1.0;
};

} // namespace porttiller
