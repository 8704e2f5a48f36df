#include "porttiller/config/Registrar.h"

#include <algorithm>

namespace porttiller {

void
Registrar::Restore(const ServerRecord& aServer)
{
  if (!mServer) {
    mServer = aServer;
    return;
  }
  if (mServer->mId == aServer.mId) {
    // A state that was acknowledged is never taken back.
    mServer->mState = std::max(mServer->mState, aServer.mState);
    mServer->mSequence = std::max(mServer->mSequence, aServer.mSequence);
    return;
  }
  // The one that has spoken to this life is the later one.
  mEarlier[aServer.mId].mServer = aServer;
}

void
Registrar::Retire()
{
  if (mServer) {
    mEarlier[mServer->mId] = { .mServer = *mServer };
  }
}

RegistrarVerdict
Registrar::Take(const ServerMessage& aMessage)
{
  const auto& server = aMessage.mServer;
  if (mServer && mServer->mId == server.mId) {
    return TakeKnown(server);
  }
  if (const auto it = mEarlier.find(server.mId); it != mEarlier.end()) {
    return TakeEarlier(it->second, server);
  }
  if (server.mState == ServerState::kLeft && server.mAddress.empty()) {
    // It leaves before its first heartbeat came: nothing may use it.
    mEarlier[server.mId].mServer = server;
    return RegistrarVerdict::kNothingNew;
  }
  Retire();
  mServer = server;
  return server.mState == ServerState::kReady ? RegistrarVerdict::kNewServer
                                              : RegistrarVerdict::kLeaving;
}

RegistrarVerdict
Registrar::TakeEarlier(EarlierLife& aLife, const ServerRecord& aServer)
{
  aLife.mServer.mState = std::max(aLife.mServer.mState, aServer.mState);
  if (aServer.mSequence <= aLife.mServer.mSequence ||
      aLife.mServer.mState != ServerState::kReady) {
    return RegistrarVerdict::kNothingNew;
  }
  aLife.mServer.mSequence = aServer.mSequence;
  if (++aLife.mMessages < kMessagesToReturn) {
    return RegistrarVerdict::kNothingNew;
  }
  Retire();
  mServer = aServer;
  mEarlier.erase(aServer.mId);
  return RegistrarVerdict::kNewServer;
}

RegistrarVerdict
Registrar::TakeKnown(const ServerRecord& aServer)
{
  if (aServer.mState <= mServer->mState) {
    mServer->mSequence = std::max(mServer->mSequence, aServer.mSequence);
    return RegistrarVerdict::kNothingNew;
  }
  // Draining and leaving hold whatever their order: they are never taken back.
  mServer->mState = aServer.mState;
  mServer->mSequence = std::max(mServer->mSequence, aServer.mSequence);
  return RegistrarVerdict::kLeaving;
}

} // namespace porttiller
