// The rate limit of a workspace over all boxes, and the messages that report
// its use and grant shares of it.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace porttiller {

struct RequestLimit
{
  double mRatePerSecond = 0.0;
  double mBurst = 0.0; // requests beyond the rate after a time without any

  friend auto operator<=>(const RequestLimit&, const RequestLimit&) = default;
};

// How far a limit may be exceeded: no window has more than
// (rate x mWindow + burst) x (1 + mOver) + mSlack requests.
struct LimitBounds
{
  Millis mWindow{ 5000 };
  double mOver = 0.1;   // of the limit
  double mSlack = 20.0; // requests
};

// The tolerance: requests that a window may have beyond rate x window + burst.
inline double
ToleranceOf(const RequestLimit& aLimit, const LimitBounds& aBounds)
{
  const double window = std::chrono::duration<double>(aBounds.mWindow).count();
  return aBounds.mOver * (aLimit.mRatePerSecond * window + aLimit.mBurst) +
         aBounds.mSlack;
}

// Requests of one workspace since its last report.
struct WorkspaceUse
{
  WorkspaceName mWorkspace;
  std::array<std::uint32_t, kPriorityCount> mOffered{}; // by priority
  std::int32_t mAdmitted = 0; // less those not run, so it may be negative

  friend bool operator==(const WorkspaceUse&, const WorkspaceUse&) = default;
};

using WorkspaceUses = std::vector<WorkspaceUse>;

// What entries may admit of a workspace that is near its limit.
struct WorkspaceGrant
{
  WorkspaceName mWorkspace;
  // Admitted share of the requests of each priority, from 0 to 1.
  std::array<double, kPriorityCount> mShares{};

  friend bool operator==(const WorkspaceGrant&,
                         const WorkspaceGrant&) = default;
};

using WorkspaceGrants = std::vector<WorkspaceGrant>;

} // namespace porttiller
