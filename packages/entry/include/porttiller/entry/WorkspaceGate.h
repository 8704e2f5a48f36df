// Enforces the rate limits of workspaces at this box's entry: makes LimitGate
// and UseReporter thread-safe, with one lock for both.
#pragma once

#include "porttiller/config/Resources.h"
#include "porttiller/policy/LimitGate.h"
#include "porttiller/policy/UseReporter.h"

#include <mutex>
#include <optional>
#include <string>

namespace porttiller {

// Owned by the node. Thread-safe; the lock is held for in-memory work only.
class WorkspaceGate
{
public:
  explicit WorkspaceGate(const LimitBounds& aBounds = {});

  // aPriority: of the route. Near the limit, higher priorities are admitted
  // first.
  LimitVerdict Offer(const WorkspaceSpec& aWorkspace, Priority aPriority);
  // Undoes the admission of a request that was not run.
  void Refund(const WorkspaceName& aWorkspace);

  // Called at each tick of the controller; see UseReporter::Next.
  std::optional<UseReport> NextReport(const std::vector<BoxName>& aCollectors);
  // aReplyToken: of the UseReport. aReplied: false when the reply timed out.
  void OnReply(std::uint64_t aReplyToken, bool aReplied);
  // Admitted shares from a collector.
  void OnGrants(const WorkspaceGrants& aGrants, bool aWarming);
  // Number of boxes that share each limit.
  void SetBoxes(std::size_t aBoxes);

  std::string Dump() const;

private:
  mutable std::mutex mMutex;
  LimitGate mGate;       // guarded by mMutex
  UseReporter mReporter; // guarded by mMutex
};

} // namespace porttiller
