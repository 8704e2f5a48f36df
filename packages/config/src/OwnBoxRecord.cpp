#include "porttiller/config/OwnBoxRecord.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// Sequence numbers rise with each heartbeat and are written with other changes
// only.
bool
SameButSequence(const std::optional<ServerRecord>& aLeft,
                const std::optional<ServerRecord>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value() == aRight.has_value();
  }
  auto left = *aLeft;
  left.mSequence = aRight->mSequence;
  return left == *aRight;
}

} // namespace

OwnBoxRecord::OwnBoxRecord(BoxSpec aBox,
                           Incarnation aIncarnation,
                           std::uint64_t aWallMicros)
{
  mRecord.mBox = std::move(aBox);
  mRecord.mIncarnation = aIncarnation;
  mRecord.mRevision = aWallMicros;
}

void
OwnBoxRecord::Change(std::uint64_t aWallMicros)
{
  mRecord.mServer = mRegistrar.Server();
  mRecord.mRevision = std::max(mRecord.mRevision + 1, aWallMicros);
}

RegistrarVerdict
OwnBoxRecord::Take(const ServerMessage& aMessage, std::uint64_t aWallMicros)
{
  const auto verdict = mRegistrar.Take(aMessage);
  if (verdict == RegistrarVerdict::kNewServer ||
      verdict == RegistrarVerdict::kLeaving) {
    Change(aWallMicros);
    mStateChanged = mRecord.mRevision;
  }
  return verdict;
}

bool
OwnBoxRecord::Confirm(const ServerIncarnation& aServer,
                      std::uint64_t aWallMicros)
{
  const bool confirmed = mRegistrar.Confirm(aServer);
  if (confirmed) {
    Change(aWallMicros);
  }
  return confirmed;
}

bool
OwnBoxRecord::Learn(const BoxRecord& aHeld, std::uint64_t aWallMicros)
{
  if (aHeld.mServer) {
    mRegistrar.Restore(*aHeld.mServer, aHeld.mRevision);
  }
  // A record of this process only returns what it has sent, or with a higher
  // revision if a peer has joined it.
  const bool older = aHeld.mRevision < mRecord.mRevision ||
                     (aHeld.mIncarnation == mRecord.mIncarnation &&
                      aHeld.mRevision == mRecord.mRevision);
  if (older && SameButSequence(mRegistrar.Server(), mRecord.mServer)) {
    return false;
  }
  mRecord.mRevision = std::max(mRecord.mRevision, aHeld.mRevision);
  Change(aWallMicros);
  return true;
}

bool
OwnBoxRecord::Knows(const BackendServerName& aServer) const
{
  const auto unconfirmed = mRegistrar.Unconfirmed();
  const auto& server = unconfirmed ? unconfirmed : mRecord.mServer;
  return server && server->mIncarnation.Id() == aServer;
}

void
OwnBoxRecord::Leave(std::uint64_t aWallMicros)
{
  const bool stored = IsStored();
  mRecord.mBox.mState = BoxState::kLeaving;
  Change(aWallMicros);
  if (stored) {
    mStored = mRecord.mRevision;
  }
}

void
OwnBoxRecord::OnStored(std::uint64_t aRevision)
{
  mStored = std::max(mStored, aRevision);
}

void
OwnBoxRecord::OnHeldByPeers(std::uint64_t aRevision)
{
  mHeldByPeers = std::max(mHeldByPeers, aRevision);
}

bool
OwnBoxRecord::IsStateHeld() const
{
  return std::max(mStored, mHeldByPeers) >= mStateChanged;
}

} // namespace porttiller
