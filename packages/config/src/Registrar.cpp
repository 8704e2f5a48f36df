#include "porttiller/config/Registrar.h"

#include <algorithm>

namespace porttiller {

namespace {

RegistrarVerdict
VerdictFor(ServerState aState)
{
  return aState == ServerState::kReady ? RegistrarVerdict::kNewServer
                                       : RegistrarVerdict::kLeaving;
}

// True for a leave message that is the first message of its incarnation. Such a
// message carries no address.
bool
IsLeaveWithoutAddress(const ServerRecord& aServer)
{
  return aServer.mState == ServerState::kLeft && aServer.mAddress.empty();
}

// Updates a stored record with messages of the same ID that arrived before it
// was read.
ServerRecord
WithMessages(ServerRecord aRecord, const ServerRecord& aMessages)
{
  if (aMessages.mIncarnation.Supersedes(aRecord.mIncarnation)) {
    aRecord.mIncarnation = aMessages.mIncarnation;
    aRecord.mState = aMessages.mState;
    aRecord.mSequence = aMessages.mSequence;
  } else if (aMessages.mIncarnation == aRecord.mIncarnation) {
    // An acknowledged state is never reverted.
    return JoinStates(std::move(aRecord), aMessages);
  }
  return aRecord;
}

} // namespace

void
Registrar::Restore(const ServerRecord& aServer, std::uint64_t aRevision)
{
  const bool newest = aRevision > mRestoredRevision;
  mRestoredRevision = std::max(mRestoredRevision, aRevision);
  const auto& id = aServer.mIncarnation.Id();
  if (mServer && mServer->mIncarnation.Id() == id) {
    if (aServer.mIncarnation.Supersedes(mServer->mIncarnation)) {
      mServer = aServer;
      mHeard = false;
    } else {
      mServer = WithMessages(*mServer, aServer);
    }
    return;
  }
  const auto it = mEarlier.find(id);
  const auto record =
    it == mEarlier.end() ? aServer : WithMessages(aServer, it->second.mServer);
  // The server that has already sent messages to this incarnation of the box is
  // the later one.
  if (mServer && (mHeard || !newest)) {
    mEarlier[id].mServer = record;
    return;
  }
  Retire();
  mServer = record;
  mEarlier.erase(id);
}

std::optional<ServerRecord>
Registrar::Server() const
{
  return Unconfirmed() ? std::nullopt : mServer;
}

std::optional<ServerRecord>
Registrar::Unconfirmed() const
{
  const bool unconfirmed =
    mServer && !mHeard && mServer->mState == ServerState::kReady;
  return unconfirmed ? mServer : std::nullopt;
}

bool
Registrar::Confirm(const ServerIncarnation& aServer)
{
  const auto unconfirmed = Unconfirmed();
  if (!unconfirmed || unconfirmed->mIncarnation != aServer) {
    return false;
  }
  mHeard = true;
  return true;
}

void
Registrar::Retire()
{
  if (mServer) {
    mEarlier[mServer->mIncarnation.Id()] = { .mServer = *mServer };
  }
}

RegistrarVerdict
Registrar::Replace(const ServerRecord& aServer)
{
  mServer = aServer;
  mHeard = true;
  mLeftWithoutStartTime = false;
  mHeartbeatsSinceLeft = 0;
  return VerdictFor(aServer.mState);
}

RegistrarVerdict
Registrar::Take(const ServerMessage& aMessage)
{
  const auto& server = aMessage.mServer;
  const auto& id = server.mIncarnation.Id();
  if (mServer && mServer->mIncarnation.Id() == id) {
    return TakeFromServer(server);
  }
  if (const auto it = mEarlier.find(id); it != mEarlier.end()) {
    return TakeEarlier(it->second, server);
  }
  if (IsLeaveWithoutAddress(server)) {
    // It left before its first heartbeat arrived and must never be used.
    mEarlier[id].mServer = server;
    return RegistrarVerdict::kNothingNew;
  }
  if (mServer && mServer->mIncarnation.StartMs() &&
      !server.mIncarnation.StartMs()) {
    return RegistrarVerdict::kForeign;
  }
  Retire();
  return Replace(server);
}

// The message has the ID of mServer.
RegistrarVerdict
Registrar::TakeFromServer(const ServerRecord& aServer)
{
  const bool unconfirmed = Unconfirmed().has_value();
  // A heartbeat from before the record was written confirms nothing.
  const bool later = aServer.mIncarnation == mServer->mIncarnation &&
                     aServer.mSequence > mServer->mSequence;
  const auto verdict = TakeSameId(aServer);
  mHeard = mHeard || later || verdict == RegistrarVerdict::kLeaving;
  return unconfirmed && Server() && verdict == RegistrarVerdict::kNothingNew
           ? RegistrarVerdict::kNewServer
           : verdict;
}

RegistrarVerdict
Registrar::TakeSameId(const ServerRecord& aServer)
{
  const auto& held = mServer->mIncarnation;
  if (aServer.mIncarnation.Supersedes(held)) {
    if (!IsLeaveWithoutAddress(aServer)) {
      return Replace(aServer);
    }
    auto left = *mServer;
    left.mIncarnation = aServer.mIncarnation;
    left.mState = ServerState::kLeft;
    left.mSequence = 0;
    return Replace(left);
  }
  if (!held.Supersedes(aServer.mIncarnation)) {
    return TakeSameStart(aServer);
  }
  if (aServer.mIncarnation.StartMs()) {
    return RegistrarVerdict::kNothingNew;
  }
  if (aServer.mState != ServerState::kLeft) {
    return RegistrarVerdict::kForeign;
  }
  // The leave message does not identify an incarnation. Assuming the current
  // one is safe.
  if (mServer->mState == ServerState::kLeft) {
    return RegistrarVerdict::kNothingNew;
  }
  mServer->mState = ServerState::kLeft;
  mLeftWithoutStartTime = true;
  mHeartbeatsSinceLeft = 0;
  return RegistrarVerdict::kLeaving;
}

RegistrarVerdict
Registrar::TakeSameStart(const ServerRecord& aServer)
{
  if (aServer.mState > mServer->mState) {
    // Draining and leaving are never reverted, in whatever order messages
    // arrive.
    mServer->mState = aServer.mState;
    mServer->mSequence = std::max(mServer->mSequence, aServer.mSequence);
    mLeftWithoutStartTime = false;
    return RegistrarVerdict::kLeaving;
  }
  const bool later = aServer.mSequence > mServer->mSequence;
  mServer->mSequence = std::max(mServer->mSequence, aServer.mSequence);
  if (!mLeftWithoutStartTime || !later ||
      ++mHeartbeatsSinceLeft < kHeartbeatsToReinstate) {
    return RegistrarVerdict::kNothingNew;
  }
  auto server = aServer;
  server.mReinstatements = mServer->mReinstatements + 1;
  return Replace(server);
}

RegistrarVerdict
Registrar::TakeEarlier(EarlierServer& aEarlier, const ServerRecord& aServer)
{
  auto& held = aEarlier.mServer;
  const bool superseded = held.mIncarnation.Supersedes(aServer.mIncarnation);
  if (superseded && aServer.mIncarnation.StartMs()) {
    return RegistrarVerdict::kNothingNew;
  }
  if (superseded && aServer.mState != ServerState::kLeft) {
    return RegistrarVerdict::kForeign;
  }
  if (aServer.mIncarnation.Supersedes(held.mIncarnation)) {
    if (IsLeaveWithoutAddress(aServer)) {
      held = aServer;
      return RegistrarVerdict::kNothingNew;
    }
    mEarlier.erase(aServer.mIncarnation.Id());
    Retire();
    return Replace(aServer);
  }
  held.mState = std::max(held.mState, aServer.mState);
  if (aServer.mSequence <= held.mSequence ||
      held.mState != ServerState::kReady) {
    return RegistrarVerdict::kNothingNew;
  }
  held.mSequence = aServer.mSequence;
  if (++aEarlier.mHeartbeats < kHeartbeatsToReinstate) {
    return RegistrarVerdict::kNothingNew;
  }
  auto server = aServer;
  server.mReinstatements = held.mReinstatements;
  mEarlier.erase(aServer.mIncarnation.Id());
  Retire();
  return Replace(server);
}

} // namespace porttiller
