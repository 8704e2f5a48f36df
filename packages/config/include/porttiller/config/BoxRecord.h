// The record of a box and its backend server, for boxes that register
// themselves instead of being listed by an operator. Only the box writes its
// record. Each change increments the revision, so the version with the highest
// revision is valid.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/Resources.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/ServerIncarnation.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

enum class ServerState
{
  kReady,
  kDraining, // announced its shutdown; finishes the requests it has accepted
  kLeft      // announced that it has shut down
};

const char*
ToText(ServerState aState);

// The backend server of a box, in one incarnation.
struct ServerRecord
{
  ServerIncarnation mIncarnation;
  ServiceName mService;
  std::string mAddress; // "ip:port", connected to only from its own box
  int mSlots = 1;       // requests that it runs concurrently
  ServerState mState = ServerState::kReady;
  std::uint64_t mSequence = 0; // of the heartbeat that reported this state

  friend auto operator<=>(const ServerRecord&, const ServerRecord&) = default;
};

struct BoxRecord
{
  BoxSpec mBox;
  Incarnation mIncarnation;
  std::uint64_t mRevision = 0;
  std::optional<ServerRecord> mServer;

  friend auto operator<=>(const BoxRecord&, const BoxRecord&) = default;
};

// The kind of these objects in the store.
inline constexpr const char* kBoxRecordKind = "box-records";

// The object name of a box's record: the box's name or, while another writer's
// object has that name, a spare one.
enum class BoxRecordPlace
{
  kUsual,
  kSpare
};

ObjectKey
BoxRecordKey(const BoxName& aBox, BoxRecordPlace aPlace);

// Decodes the record in an object of the store. Fails if the contents are
// invalid or if the object's name does not belong to the box in the record.
tl::expected<BoxRecord, UnreadableObject>
ReadBoxRecord(const Object& aObject);

// Records from the store or a peer, and the objects that could not be read.
struct BoxRecordList
{
  std::vector<BoxRecord> mRecords;
  std::vector<UnreadableObject> mUnreadable;
};

// Decodes the records in a list from the store.
BoxRecordList
ReadBoxRecords(const ObjectDelta& aList);

// The spec of the record's server for routing. The record must have a server.
BackendServerSpec
SpecOf(const BoxRecord& aRecord);

std::string
ToJsonText(const BoxRecord& aRecord);

tl::expected<BoxRecord, FieldErrors>
ParseBoxRecord(const std::string& aText);

} // namespace porttiller
