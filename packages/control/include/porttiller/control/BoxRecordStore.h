// The records of boxes as they stand in the platform's store.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/Settings.h"
#include "porttiller/store/ObjectClient.h"

#include <mutex>
#include <optional>
#include <vector>

namespace porttiller {

// What came of a write of the own record.
struct RecordWrite
{
  bool mWritten = false;
  // Not written: a record of an earlier incarnation of the box stands there.
  std::optional<BoxRecord> mEarlier;
};

// Objects of other writers under the own name are neither replaced nor deleted:
// the own record then stands under the spare name. Owned by the directory
// controller. Thread-safe: reads and writes of the own record come one at a
// time. Logs writes that fail; a read that fails is reported by its caller.
class BoxRecordStore
{
public:
  // Within kCallTimeout, or kAckTimeout for what a server's acknowledgement
  // waits for.
  BoxRecordStore(const Settings& aSettings, UnreadableListener aOnUnreadable);

  // What an earlier incarnation of this box has left; nothing inside when it
  // left nothing.
  tl::expected<std::optional<BoxRecord>, StoreError> ReadOwn();
  // Creates or replaces the own record. A second try replaces what an earlier
  // incarnation left.
  RecordWrite Write(const BoxRecord& aRecord, bool aForAck);
  // All records that can be read.
  tl::expected<std::vector<BoxRecord>, StoreError> ReadAll();
  // Ends calls that wait.
  void Abort();

private:
  ObjectKey OwnKey() const { return BoxRecordKey(mBox, mPlace); }
  std::optional<BoxRecord> OwnRecordIn(const Object& aObject);
  tl::expected<std::uint64_t, StoreError> Put(ObjectClient& aClient,
                                              const BoxRecord& aRecord);
  RecordWrite TakeConflict(ObjectClient& aClient, const BoxRecord& aRecord);
  bool UseSpare();

  const BoxName mBox;
  const UnreadableListener mOnUnreadable;
  std::mutex mMutex; // one call for the own record at a time
  BoxRecordPlace mPlace = BoxRecordPlace::kUsual; // under mMutex
  std::uint64_t mVersion = 0; // of the own object there; under mMutex
  ObjectClient mClient;       // of the thread that keeps the record up to date
  ObjectClient mAckClient;    // under mMutex
};

} // namespace porttiller
