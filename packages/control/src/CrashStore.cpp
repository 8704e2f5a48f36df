#include "porttiller/control/CrashStore.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/control/StoreClient.h"
#include "porttiller/hop/CrashText.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/Timestamp.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kCallTimeout{ 1500 };
constexpr const char* kTimeField = "time_ms"; // Unix time of the ages
constexpr const char* kCrashesField = "crashes";

Millis
UnixTime()
{
  return std::chrono::duration_cast<Millis>(
    Micros(Poco::Timestamp().epochMicroseconds()));
}

std::string
ToSpec(const CrashRecord& aRecord)
{
  Poco::JSON::Object spec(Poco::JSON_PRESERVE_KEY_ORDER);
  spec.set(kTimeField, UnixTime().count());
  spec.set(kCrashesField, EncodeCrashes(aRecord.mEvents, Now()));
  return ToJsonText(spec);
}

// Null if the object is not a crash record.
std::optional<CrashRecord>
ParseRecord(const Object& aObject)
{
  const auto digest = RequestDigest::Parse(aObject.mKey.mName);
  if (!digest) {
    return std::nullopt;
  }
  const auto record =
    DecodeJson(aObject.mSpecJson, [&](const Poco::JSON::Object& aSpec) {
      const Millis time(aSpec.optValue<std::int64_t>(kTimeField, 0));
      const auto age = std::max(Millis(0), UnixTime() - time);
      const auto crashes = aSpec.optValue<std::string>(kCrashesField, "");
      return CrashRecord{ .mDigest = *digest,
                          .mEvents = DecodeCrashes(crashes, Now() - age) };
    });
  return record ? std::optional(*record) : std::nullopt;
}

void
LogFailure(const char* aCall, const StoreError& aError)
{
  LogLine(LogLevel::kWarning, "crash_record_not_stored")
    .With("call", aCall)
    .With("error", ToText(aError.mKind))
    .With("detail", aError.mDetail);
}

} // namespace

CrashStore::CrashStore(const Settings& aSettings)
  : mClient(StoreClientOptions(aSettings, "crash-record", kCallTimeout))
{
}

void
CrashStore::Abort()
{
  mClient.Abort();
}

tl::expected<std::vector<CrashRecord>, StoreError>
CrashStore::ReadAll()
{
  const auto list = mClient.List(kCrashRecordKind);
  if (!list) {
    return tl::make_unexpected(list.error());
  }
  std::vector<CrashRecord> records;
  for (const auto& object : list->mObjects) {
    if (auto record = ParseRecord(object)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

bool
CrashStore::Write(const CrashRecord& aRecord)
{
  const ObjectKey key{ kCrashRecordKind, aRecord.mDigest.ToString() };
  const auto held = mClient.Get(key);
  if (!held && held.error().mKind != StoreErrorKind::kNotFound) {
    LogFailure("get", held.error());
    return false;
  }
  const auto written = held
                         ? mClient.Update(key, held->mVersion, ToSpec(aRecord))
                         : mClient.Create(key, ToSpec(aRecord));
  if (!written) {
    LogFailure("put", written.error());
  }
  return written.has_value();
}

bool
CrashStore::Remove(const RequestDigest& aDigest)
{
  const ObjectKey key{ kCrashRecordKind, aDigest.ToString() };
  const auto held = mClient.Get(key);
  if (!held && held.error().mKind == StoreErrorKind::kNotFound) {
    return true; // most records were never stored
  }
  if (!held) {
    LogFailure("get", held.error());
    return false;
  }
  const auto removed = mClient.Delete(key, held->mVersion);
  if (!removed) {
    LogFailure("delete", removed.error());
  }
  return removed.has_value();
}

} // namespace porttiller
