// Orders the messages of the backend server beside one box. Messages may come
// late, from an earlier start of the server, or from another writer.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/core/Time.h"

#include <map>
#include <optional>

namespace porttiller {

// A heartbeat, or the message that the server leaves.
struct ServerMessage
{
  ServerRecord mServer; // of a leaving one only incarnation and state count
  Millis mColdFor{ 0 }; // it is slow from its start for so much longer
};

// What a message changes.
enum class RegistrarVerdict
{
  kNothingNew, // known, late, or of an earlier start
  kNewServer,  // another server or start, or its first message
  kLeaving,    // it drains or leaves; to be kept before it is acknowledged
  kForeign     // not of the server in use; not to be acknowledged
};

// Within one id a later start replaces an earlier one at once, whatever the
// state of either, and messages of earlier starts change nothing. Servers
// that report no start time have a new id at each start. Owned by the directory
// controller, under its lock.
class Registrar
{
public:
  // So many further heartbeats show that a server is running although it was
  // taken for gone: by a late message of another id, or by a leave message that
  // does not say which start it is of.
  static constexpr int kHeartbeatsToReturn = 3;

  // Goes on from what an earlier incarnation of this box had recorded.
  void Restore(const ServerRecord& aServer);

  RegistrarVerdict Take(const ServerMessage& aMessage);

  // The server of this box; null before its first message.
  const std::optional<ServerRecord>& Server() const { return mServer; }

private:
  struct EarlierServer
  {
    ServerRecord mServer;
    int mHeartbeats = 0; // since it was taken for gone
  };

  RegistrarVerdict TakeSameId(const ServerRecord& aServer);
  RegistrarVerdict TakeSameStart(const ServerRecord& aServer);
  RegistrarVerdict TakeEarlier(EarlierServer& aEarlier,
                               const ServerRecord& aServer);
  RegistrarVerdict Replace(const ServerRecord& aServer);
  void Retire();

  std::optional<ServerRecord> mServer;
  // The leave message of mServer named no start, though the server has one.
  bool mLeftWithoutStart = false;
  int mHeartbeatsSinceLeft = 0;
  std::map<BackendServerName, EarlierServer> mEarlier;
};

} // namespace porttiller
