#include "porttiller/entry/WorkspaceGate.h"

#include "porttiller/hop/Random.h"

namespace porttiller {

WorkspaceGate::WorkspaceGate(const LimitBounds& aBounds)
  : mGate({ .mBounds = aBounds })
{
}

LimitVerdict
WorkspaceGate::Offer(const WorkspaceSpec& aWorkspace, Priority aPriority)
{
  const RequestLimit limit{ .mRatePerSecond = aWorkspace.mRatePerSecond,
                            .mBurst = aWorkspace.mBurst };
  const std::lock_guard lock(mMutex);
  return mGate.Offer(aWorkspace.mName, limit, aPriority, Now(), Random());
}

void
WorkspaceGate::Refund(const WorkspaceName& aWorkspace)
{
  const std::lock_guard lock(mMutex);
  mGate.Refund(aWorkspace);
}

std::optional<UseReport>
WorkspaceGate::NextReport(const std::vector<BoxName>& aCollectors)
{
  const std::lock_guard lock(mMutex);
  return mReporter.Next(mGate, aCollectors, Now());
}

void
WorkspaceGate::OnReply(std::uint64_t aReplyToken, bool aReplied)
{
  const std::lock_guard lock(mMutex);
  mReporter.OnReply(aReplyToken, aReplied, Now());
}

void
WorkspaceGate::OnGrants(const WorkspaceGrants& aGrants, bool aWarming)
{
  const std::lock_guard lock(mMutex);
  mGate.OnGrants(aGrants, aWarming, Now());
}

void
WorkspaceGate::SetBoxes(std::size_t aBoxes)
{
  const std::lock_guard lock(mMutex);
  mGate.SetBoxes(aBoxes);
}

std::string
WorkspaceGate::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mGate.Dump();
}

} // namespace porttiller
