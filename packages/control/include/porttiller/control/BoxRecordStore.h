// Reads and writes the records of boxes in the platform's store.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/Settings.h"
#include "porttiller/store/ObjectClient.h"

#include <mutex>
#include <optional>
#include <vector>

namespace porttiller {

// The result of writing this box's own record.
struct RecordWrite
{
  bool mWritten = false;
  // Not written: the store holds this record of an earlier incarnation.
  std::optional<BoxRecord> mEarlier;
};

// Never replaces or deletes another writer's object: if one has this box's
// record name, the record is stored under the spare name. Owned by the
// directory controller. Thread-safe: reads and writes of the own record are
// serialized. Logs failed writes; the caller reports failed reads.
class BoxRecordStore
{
public:
  // Calls time out after kCallTimeout, or kAckTimeout if the acknowledgement of
  // a server's message waits for them.
  BoxRecordStore(const Settings& aSettings, UnreadableListener aOnUnreadable);

  // The record of an earlier incarnation of this box; null if there is none.
  tl::expected<std::optional<BoxRecord>, StoreError> ReadOwn();
  // Creates or replaces the own record. A record of an earlier incarnation is
  // returned by the first call and replaced by the next one.
  RecordWrite Write(const BoxRecord& aRecord, bool aForAck);
  // All readable records; reports the others as unreadable.
  tl::expected<std::vector<BoxRecord>, StoreError> ReadAll();
  // Ends pending calls.
  void Abort();

private:
  ObjectKey OwnKey() const { return BoxRecordKey(mBox, mPlace); }
  std::optional<BoxRecord> ParseOwnRecord(const Object& aObject);
  tl::expected<std::uint64_t, StoreError> Put(ObjectClient& aClient,
                                              const BoxRecord& aRecord);
  RecordWrite ResolveConflict(ObjectClient& aClient, const BoxRecord& aRecord);
  bool SwitchToSpareName();

  const BoxName mBox;
  const UnreadableListener mOnUnreadable;
  std::mutex mMutex; // serializes calls for the own record
  BoxRecordPlace mPlace = BoxRecordPlace::kUsual; // under mMutex
  std::uint64_t mVersion = 0; // of the object at mPlace, 0: none; under mMutex
  ObjectClient mClient;       // of the thread that updates the record
  ObjectClient mAckClient;    // under mMutex
};

} // namespace porttiller
