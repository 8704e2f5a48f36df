// The record of a box and its backend server, where no operator lists them. The
// box alone writes its record, and each change raises the record's revision, so
// of two versions the higher one holds.
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
  kDraining, // announced that it will leave; finishes what it has
  kLeft      // announced that it leaves now
};

const char*
ToText(ServerState aState);

// The backend server beside a box, in one of its starts.
struct ServerRecord
{
  ServerIncarnation mIncarnation;
  ServiceName mService;
  std::string mAddress; // "ip:port", reached from its own box
  int mSlots = 1;
  ServerState mState = ServerState::kReady;
  std::uint64_t mSequence = 0; // of the heartbeat that said so

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

// The store's kind of these objects.
inline constexpr const char* kBoxRecordKind = "box-records";

// Where a box's record stands: under the box's name or, while an object of
// another writer has that name, under a spare one.
enum class BoxRecordPlace
{
  kUsual,
  kSpare
};

ObjectKey
BoxRecordKey(const BoxName& aBox, BoxRecordPlace aPlace);

// The record in an object of the store. An object that cannot be read, or whose
// name is not one of the box in it, is no record.
tl::expected<BoxRecord, UnreadableObject>
ReadBoxRecord(const Object& aObject);

// Records from outside, and what was left out among them.
struct BoxRecordList
{
  std::vector<BoxRecord> mRecords;
  std::vector<UnreadableObject> mUnreadable;
};

// The records in a list of the store.
BoxRecordList
ReadBoxRecords(const ObjectDelta& aList);

// The server as routing takes it. The record must have one.
BackendServerSpec
SpecOf(const BoxRecord& aRecord);

std::string
ToJsonText(const BoxRecord& aRecord);

tl::expected<BoxRecord, FieldErrors>
ParseBoxRecord(const std::string& aText);

} // namespace porttiller
