// The record of a box and its backend server, for boxes that register
// themselves instead of being listed by an operator. Only the box writes its
// record. Each change increments the revision, so the version with the highest
// revision is valid, but for one fact: that a server leaves is never lost to a
// later revision. A box that restarts without it would otherwise take it back.
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
  // How often its heartbeats have shown that it runs on after a leave message
  // that named no start. Orders its states before mState does.
  std::uint64_t mReinstatements = 0;

  friend auto operator<=>(const ServerRecord&, const ServerRecord&) = default;
};

// aRecord with the later state of the two, which are of one incarnation.
ServerRecord
JoinStates(ServerRecord aRecord, const ServerRecord& aOther);

struct BoxRecord
{
  BoxSpec mBox;
  Incarnation mIncarnation;
  std::uint64_t mRevision = 0;
  std::optional<ServerRecord> mServer;

  friend auto operator<=>(const BoxRecord&, const BoxRecord&) = default;
};

// What two versions of one box's record say together: the newer one, and that
// its server leaves if only the older one says so. In that case, and for two
// versions of one revision, the revision is higher than both, so that the join
// spreads like any change. The same for both orders of the arguments.
BoxRecord
Join(const BoxRecord& aLeft, const BoxRecord& aRight);

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
