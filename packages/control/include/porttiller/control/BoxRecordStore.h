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
  // Not written: a record of an earlier life stands there.
  std::optional<BoxRecord> mEarlier;
};

// Owned by the directory controller. Thread-safe: reads and writes of the own
// record come one at a time. Logs writes that fail and listed records that
// cannot be read; a read that fails is its caller's to tell.
class BoxRecordStore
{
public:
  // Within kCallTimeout, or kAckTimeout for what a server's acknowledgement
  // waits for.
  explicit BoxRecordStore(const Settings& aSettings);

  // What a life of this box has left; nothing inside when it left nothing.
  tl::expected<std::optional<BoxRecord>, StoreError> ReadOwn();
  // Creates or replaces the own record. A second try replaces what an earlier
  // life left.
  RecordWrite Write(const BoxRecord& aRecord, bool aForAck);
  // All records that can be read.
  tl::expected<std::vector<BoxRecord>, StoreError> ReadAll();
  // Ends calls that wait.
  void Abort();

private:
  RecordWrite TakeConflict(ObjectClient& aClient, const BoxRecord& aRecord);

  const ObjectKey mOwnKey;
  std::mutex mMutex;          // one call for the own record at a time
  std::uint64_t mVersion = 0; // of the own object there; under mMutex
  ObjectClient mClient;       // of the thread that keeps the record up to date
  ObjectClient mAckClient;    // under mMutex
};

} // namespace porttiller
