#include "porttiller/control/BoxRecordStore.h"

#include "porttiller/control/StoreClient.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr Millis kCallTimeout{ 1500 };
// A server waits 1 s for its acknowledgement; the call to the store and then
// those to peers must fit into it.
constexpr Millis kAckTimeout{ 350 };

UnreadableObject
UnreadableOwnRecord(const StoreError& aError)
{
  return { .mKind = kBoxRecordKind,
           .mReason = UnreadableReason::kItem,
           .mDetail = aError.mDetail };
}

} // namespace

BoxRecordStore::BoxRecordStore(const Settings& aSettings,
                               UnreadableListener aOnUnreadable)
  : mBox(aSettings.mBox)
  , mOnUnreadable(std::move(aOnUnreadable))
  , mClient(StoreClientOptions(aSettings, "box-record", kCallTimeout))
  , mAckClient(StoreClientOptions(aSettings, "acknowledgement", kAckTimeout))
{
}

void
BoxRecordStore::Abort()
{
  mClient.Abort();
  mAckClient.Abort();
}

// Null if the object is not a record of this box; reports it as unreadable.
std::optional<BoxRecord>
BoxRecordStore::ParseOwnRecord(const Object& aObject)
{
  auto record = ReadBoxRecord(aObject);
  if (!record) {
    mOnUnreadable({ record.error() });
    return std::nullopt;
  }
  return *record;
}

// False if the spare name is already in use. Under mMutex.
bool
BoxRecordStore::SwitchToSpareName()
{
  if (mPlace == BoxRecordPlace::kSpare) {
    return false;
  }
  mPlace = BoxRecordPlace::kSpare;
  mVersion = 0;
  return true;
}

tl::expected<std::optional<BoxRecord>, StoreError>
BoxRecordStore::ReadOwn()
{
  const std::lock_guard lock(mMutex);
  do {
    const auto own = mClient.Get(OwnKey());
    if (own) {
      if (const auto record = ParseOwnRecord(*own)) {
        mVersion = own->mVersion;
        return record;
      }
    } else if (own.error().mKind == StoreErrorKind::kBadAnswer) {
      mOnUnreadable({ UnreadableOwnRecord(own.error()) });
    } else if (own.error().mKind != StoreErrorKind::kNotFound) {
      return tl::make_unexpected(own.error());
    }
  } while (SwitchToSpareName());
  // Neither name has a record; the next write tries the usual one first.
  mPlace = BoxRecordPlace::kUsual;
  mVersion = 0;
  return std::nullopt;
}

// Under mMutex.
tl::expected<std::uint64_t, StoreError>
BoxRecordStore::Put(ObjectClient& aClient, const BoxRecord& aRecord)
{
  return mVersion == 0
           ? aClient.Create(OwnKey(), ToJsonText(aRecord))
           : aClient.Update(OwnKey(), mVersion, ToJsonText(aRecord));
}

RecordWrite
BoxRecordStore::Write(const BoxRecord& aRecord, bool aForAck)
{
  const std::lock_guard lock(mMutex);
  auto& client = aForAck ? mAckClient : mClient;
  RecordWrite result;
  tl::expected<std::uint64_t, StoreError> written;
  bool moved = false;
  do {
    const auto place = mPlace;
    written = Put(client, aRecord);
    if (written) {
      mVersion = *written;
      return { .mWritten = true };
    }
    if (written.error().mKind != StoreErrorKind::kUnavailable) {
      result = ResolveConflict(client, aRecord);
    }
    moved = mPlace != place;
  } while (moved && !result.mWritten);
  if (!result.mWritten) {
    LogLine(LogLevel::kWarning, "box_record_not_written")
      .With("revision", std::to_string(aRecord.mRevision))
      .With("error", ToText(written.error().mKind))
      .With("detail", written.error().mDetail);
  }
  return result;
}

// The store holds another version than expected. It comes from this write if
// its reply was lost, from an earlier incarnation of this box, which the next
// write replaces, or from another writer, whose object is kept. Under mMutex.
RecordWrite
BoxRecordStore::ResolveConflict(ObjectClient& aClient, const BoxRecord& aRecord)
{
  const auto held = aClient.Get(OwnKey());
  if (!held) {
    if (held.error().mKind == StoreErrorKind::kNotFound) {
      mVersion = 0;
    } else if (held.error().mKind == StoreErrorKind::kBadAnswer) {
      mOnUnreadable({ UnreadableOwnRecord(held.error()) });
      SwitchToSpareName();
    }
    return {};
  }
  const auto record = ParseOwnRecord(*held);
  if (!record) {
    SwitchToSpareName();
    return {};
  }
  mVersion = held->mVersion;
  if (*record == aRecord) {
    return { .mWritten = true };
  }
  const bool earlier = record->mIncarnation != aRecord.mIncarnation;
  return { .mEarlier = earlier ? record : std::nullopt };
}

tl::expected<std::vector<BoxRecord>, StoreError>
BoxRecordStore::ReadAll()
{
  const auto list = mClient.List(kBoxRecordKind);
  if (!list) {
    return tl::make_unexpected(list.error());
  }
  auto read = ReadBoxRecords(*list);
  mOnUnreadable(read.mUnreadable);
  return std::move(read.mRecords);
}

} // namespace porttiller
