// Orders what the backend server of one box says of itself. A server has an id
// for each of its lives, and numbers its messages; messages may come late.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/core/Time.h"

#include <map>
#include <optional>

namespace porttiller {

// A heartbeat, or the word that the server leaves.
struct ServerMessage
{
  ServerRecord mServer; // of a leaving one only the id counts
  Millis mColdFor{ 0 }; // it is slow from its start for so much longer
};

// What a message changes.
enum class RegistrarVerdict
{
  kNothingNew, // known, late, or of an earlier life
  kNewServer,  // another server, or its first message
  kLeaving     // it drains or leaves; to be kept before it is acknowledged
};

// Owned by the directory controller, under its lock.
class Registrar
{
public:
  // A life that was taken for over comes back after so many further messages:
  // then a late message of a still older life had been taken for a new one.
  static constexpr int kMessagesToReturn = 3;

  // Goes on from what an earlier life of this box had recorded.
  void Restore(const ServerRecord& aServer);

  RegistrarVerdict Take(const ServerMessage& aMessage);

  // The server of this box; null before its first message.
  const std::optional<ServerRecord>& Server() const { return mServer; }

private:
  struct EarlierLife
  {
    ServerRecord mServer;
    int mMessages = 0; // since it was taken for over
  };

  RegistrarVerdict TakeKnown(const ServerRecord& aServer);
  RegistrarVerdict TakeEarlier(EarlierLife& aLife, const ServerRecord& aServer);
  void Retire();

  std::optional<ServerRecord> mServer;
  std::map<BackendServerName, EarlierLife> mEarlier;
};

} // namespace porttiller
