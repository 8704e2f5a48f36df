// Tracks the backend server of a box by the server's messages. Messages may be
// delayed, reordered, or come from an earlier incarnation or another process.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/core/Time.h"

#include <map>
#include <optional>

namespace porttiller {

// A heartbeat or a leave message.
struct ServerMessage
{
  ServerRecord mServer; // a leave message uses only incarnation and state
  // Remaining time in which the server is slow after its start.
  Millis mColdRemaining{ 0 };
};

// The effect of a message.
enum class RegistrarVerdict
{
  kNothingNew, // already known, delayed, or from an earlier incarnation
  kNewServer,  // first message of this server or incarnation
  kLeaving,    // it drains or leaves; store this before acknowledging it
  kForeign     // not from the server in use; must not be acknowledged
};

// A later incarnation of an ID replaces an earlier one immediately, whatever
// the state of either, and messages of earlier incarnations have no effect.
// Servers that report no start time must use a new ID for each start.
//
// What is restored from before a restart of the box says which server leaves,
// but not that another one is still ready: the message that it leaves may have
// reached no holder that is left. A server that was restored as ready is used
// once this process has heard from it. Owned by OwnBoxRecord.
class Registrar
{
public:
  // Number of further heartbeats after which a server that was considered
  // stopped is used again. A delayed message of another ID, or a leave message
  // without a start time, can make a running server look stopped.
  static constexpr int kHeartbeatsToReinstate = 3;

  // Restores the server of a record of this box that another holder has kept.
  // Of several such records, the one with the highest revision names the server
  // of the box.
  void Restore(const ServerRecord& aServer, std::uint64_t aRevision);

  RegistrarVerdict Take(const ServerMessage& aMessage);

  // The server says, by its health check, that it is ready. Returns true if it
  // is the one of Unconfirmed, which is used from now on.
  bool Confirm(const ServerIncarnation& aServer);

  // The server of this box; null before its first message.
  std::optional<ServerRecord> Server() const;
  // The server that was restored as ready and was not heard from since.
  std::optional<ServerRecord> Unconfirmed() const;

private:
  struct EarlierServer
  {
    ServerRecord mServer;
    int mHeartbeats = 0; // since it was considered stopped
  };

  RegistrarVerdict TakeFromServer(const ServerRecord& aServer);
  RegistrarVerdict TakeSameId(const ServerRecord& aServer);
  RegistrarVerdict TakeSameStart(const ServerRecord& aServer);
  RegistrarVerdict TakeEarlier(EarlierServer& aEarlier,
                               const ServerRecord& aServer);
  RegistrarVerdict Replace(const ServerRecord& aServer);
  void Retire();

  std::optional<ServerRecord> mServer;
  // This process has received a message of mServer.
  bool mHeard = false;
  std::uint64_t mRestoredRevision = 0;
  // mServer has a start time, but its leave message had none.
  bool mLeftWithoutStartTime = false;
  int mHeartbeatsSinceLeft = 0;
  std::map<BackendServerName, EarlierServer> mEarlier;
};

} // namespace porttiller
