// The gate of this box's entry for the limits of workspaces: the decisions of
// LimitGate and UseReporter under one lock.
#pragma once

#include "porttiller/config/Resources.h"
#include "porttiller/policy/LimitGate.h"
#include "porttiller/policy/UseReporter.h"

#include <mutex>
#include <optional>
#include <string>

namespace porttiller {

// Owned by the node. Thread-safe; no call blocks for longer than a look-up.
class WorkspaceGate
{
public:
  explicit WorkspaceGate(const LimitBounds& aBounds = {});

  // aKind: the priority of the route; of a workspace near its limit the more
  // urgent kinds pass first.
  LimitVerdict Offer(const WorkspaceSpec& aWorkspace, Priority aKind);
  // An admitted request was not run.
  void GiveBack(const WorkspaceName& aWorkspace);

  // At each tick of the controller; see UseReporter.
  std::optional<UseReport> NextReport(const std::vector<BoxName>& aCollectors);
  void OnReply(std::uint64_t aQuestion, bool aReplied);
  // From a collector.
  void OnGrants(const WorkspaceGrants& aGrants, bool aWarming);
  // Boxes that share each limit.
  void SetBoxes(std::size_t aBoxes);

  std::string Dump() const;

private:
  mutable std::mutex mMutex;
  LimitGate mGate;       // under mMutex
  UseReporter mReporter; // under mMutex
};

} // namespace porttiller
