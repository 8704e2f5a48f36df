#include "porttiller/control/BoxRecordStore.h"

#include "porttiller/hop/Dialects.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr Millis kCallTimeout{ 1500 };
// A server waits a second for its acknowledgement; the store and then the
// peers must fit in.
constexpr Millis kAckTimeout{ 350 };

ObjectClientOptions
ClientOptions(const Settings& aSettings, Millis aTimeout)
{
  return { .mAddress = aSettings.mPlatformAddress,
           .mTimeout = aTimeout,
           .mDialect = StoreDialectOf(aSettings) };
}

} // namespace

BoxRecordStore::BoxRecordStore(const Settings& aSettings)
  : mOwnKey{ kBoxRecordKind, aSettings.mBox.Value() }
  , mClient(ClientOptions(aSettings, kCallTimeout))
  , mAckClient(ClientOptions(aSettings, kAckTimeout))
{
}

void
BoxRecordStore::Abort()
{
  mClient.Abort();
  mAckClient.Abort();
}

tl::expected<std::optional<BoxRecord>, StoreError>
BoxRecordStore::ReadOwn()
{
  const std::lock_guard lock(mMutex);
  const auto own = mClient.Get(mOwnKey);
  if (own) {
    mVersion = own->mVersion;
    const auto record = ParseBoxRecord(own->mSpecJson);
    return record ? std::optional(*record) : std::nullopt;
  }
  if (own.error().mKind == StoreErrorKind::kNotFound) {
    return std::nullopt;
  }
  return tl::make_unexpected(own.error());
}

RecordWrite
BoxRecordStore::Write(const BoxRecord& aRecord, bool aForAck)
{
  const std::lock_guard lock(mMutex);
  auto& client = aForAck ? mAckClient : mClient;
  const auto written =
    mVersion == 0 ? client.Create(mOwnKey, ToJsonText(aRecord))
                  : client.Update(mOwnKey, mVersion, ToJsonText(aRecord));
  if (written) {
    mVersion = *written;
    return { .mWritten = true };
  }
  RecordWrite result;
  if (written.error().mKind != StoreErrorKind::kUnavailable) {
    result = TakeConflict(client, aRecord);
  }
  if (!result.mWritten) {
    LogLine(LogLevel::kWarning, "box_record_not_written")
      .With("revision", std::to_string(aRecord.mRevision))
      .With("error", ToText(written.error().mKind))
      .With("detail", written.error().mDetail);
  }
  return result;
}

// Another version is there: of this write, whose answer was lost, or of an
// earlier life of this box, which the next write replaces. Under mMutex.
RecordWrite
BoxRecordStore::TakeConflict(ObjectClient& aClient, const BoxRecord& aRecord)
{
  const auto held = aClient.Get(mOwnKey);
  if (!held) {
    if (held.error().mKind == StoreErrorKind::kNotFound) {
      mVersion = 0;
    }
    return {};
  }
  mVersion = held->mVersion;
  const auto record = ParseBoxRecord(held->mSpecJson);
  if (record && *record == aRecord) {
    return { .mWritten = true };
  }
  const bool earlier = record && record->mIncarnation != aRecord.mIncarnation;
  return { .mEarlier = earlier ? std::optional(*record) : std::nullopt };
}

tl::expected<std::vector<BoxRecord>, StoreError>
BoxRecordStore::ReadAll()
{
  const auto list = mClient.List(kBoxRecordKind);
  if (!list) {
    return tl::make_unexpected(list.error());
  }
  std::vector<BoxRecord> records;
  records.reserve(list->mObjects.size());
  for (const auto& object : list->mObjects) {
    if (auto record = ParseBoxRecord(object.mSpecJson)) {
      records.push_back(std::move(*record));
    } else {
      LogLine(LogLevel::kWarning, "box_record_unreadable")
        .With("box", object.mKey.mName)
        .With("version", static_cast<std::int64_t>(object.mVersion))
        .With("error", ToText(record.error()));
    }
  }
  return records;
}

} // namespace porttiller
