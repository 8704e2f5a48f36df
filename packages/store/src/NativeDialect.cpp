#include "porttiller/store/NativeDialect.h"

#include "porttiller/config/ItemsJson.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

namespace porttiller {

namespace {

constexpr const char* kConfigKinds = "Service,BackendServer,Route,Box,Limits";
constexpr const char* kObjectsPath = "/v1/objects/";
constexpr const char* kNoSpec = "null";
// Brackets around the fields of an object: of its own, and in a list or watch.
constexpr std::size_t kObjectLevel = 1;
constexpr std::size_t kListLevel = 3;

std::string
PathOf(const ObjectKey& aKey)
{
  std::string name;
  Poco::URI::encode(aKey.mName, "/?#&", name);
  return kObjectsPath + aKey.mKind + "/" + name;
}

// A spec that is no object is kept as kNoSpec: whoever parses it rejects it,
// and the last valid version of the object stays in force.
ItemResult
ReadItem(const Poco::JSON::Object::Ptr& aItem)
{
  UnreadableObject unreadable;
  if (aItem.isNull()) {
    return Unreadable(unreadable, UnreadableReason::kItem);
  }
  unreadable.mKind = TextIn(*aItem, "kind");
  unreadable.mName = TextIn(*aItem, "name");
  if (unreadable.mKind.empty() || unreadable.mName.empty()) {
    return Unreadable(unreadable, UnreadableReason::kName);
  }
  const auto version = UnsignedIn(*aItem, "version");
  if (!version) {
    return Unreadable(unreadable, UnreadableReason::kVersion);
  }
  const auto deleted = aItem->get("deleted");
  Object object{ .mKey = { unreadable.mKind, unreadable.mName },
                 .mVersion = *version,
                 .mDeleted = deleted.isBoolean() && deleted.extract<bool>() };
  if (!object.mDeleted) {
    const auto spec = aItem->getObject("spec");
    object.mSpecJson = spec.isNull() ? kNoSpec : ToJsonText(*spec);
  }
  return object;
}

ObjectDelta
DeltaFrom(const Poco::JSON::Object& aJson)
{
  ObjectDelta delta;
  delta.mTo = aJson.getValue<std::uint64_t>("revision");
  delta.mCursor = delta.mTo;
  const auto items = aJson.getArray("items");
  for (std::size_t i = 0; i < items->size(); ++i) {
    AddItem(ReadItem(items->getObject(static_cast<unsigned>(i))), delta);
  }
  return delta;
}

StoreCall
ListOf(const std::string& aKinds)
{
  return { .mMethod = "GET", .mPath = "/v1/objects?kinds=" + aKinds };
}

Decoded<ObjectDelta>
ReadList(const std::string& aBody)
{
  auto delta = DecodeItems(aBody, kListLevel, DeltaFrom);
  if (delta) {
    delta->mFull = true;
  }
  return delta;
}

} // namespace

StoreCall
NativeDialect::Get(const ObjectKey& aKey)
{
  return { .mMethod = "GET", .mPath = PathOf(aKey) };
}

StoreCall
NativeDialect::List(const std::string& aKind, const std::string& /*aAfter*/)
{
  return ListOf(aKind);
}

StoreCall
NativeDialect::ListConfiguration()
{
  return ListOf(kConfigKinds);
}

StoreCall
NativeDialect::Watch(const std::string& aKind,
                     std::uint64_t aFrom,
                     Millis aWait)
{
  return { .mMethod = "GET",
           .mPath = "/v1/watch?kinds=" + aKind +
                    "&from=" + std::to_string(aFrom) +
                    "&wait_ms=" + std::to_string(aWait.count()) };
}

StoreCall
NativeDialect::WatchConfiguration(std::uint64_t aFrom, Millis aWait)
{
  return Watch(kConfigKinds, aFrom, aWait);
}

StoreCall
NativeDialect::Create(const ObjectKey& aKey, const std::string& aSpec)
{
  return { .mMethod = "POST", .mPath = PathOf(aKey), .mBody = aSpec };
}

StoreCall
NativeDialect::Update(const ObjectKey& aKey,
                      std::uint64_t aVersion,
                      const std::string& aSpec)
{
  return { .mMethod = "PUT",
           .mPath = PathOf(aKey),
           .mBody = aSpec,
           .mIfVersion = aVersion };
}

StoreCall
NativeDialect::Delete(const ObjectKey& aKey, std::uint64_t aVersion)
{
  return { .mMethod = "DELETE", .mPath = PathOf(aKey), .mIfVersion = aVersion };
}

Decoded<Object>
NativeDialect::ReadObject(const std::string& /*aKind*/,
                          const std::string& aBody)
{
  auto json = ParseJsonObject(ReplaceDeepValues(aBody, kObjectLevel));
  if (!json) {
    return tl::make_unexpected(DecodeError{ ToText(json.error()) });
  }
  return ReadItem(*json).map_error(ToDecodeError);
}

Decoded<ObjectPage>
NativeDialect::ReadPage(const std::string& /*aKind*/, const std::string& aBody)
{
  return ReadList(aBody).map([](ObjectDelta aDelta) {
    return ObjectPage{ std::move(aDelta), "" };
  });
}

Decoded<ObjectDelta>
NativeDialect::ReadConfiguration(const std::string& aBody)
{
  return ReadList(aBody);
}

Decoded<ObjectDelta>
NativeDialect::ReadConfigurationChanges(std::uint64_t aFrom,
                                        const std::string& aBody)
{
  return ReadChanges("", aFrom, aBody);
}

Decoded<ObjectDelta>
NativeDialect::ReadChanges(const std::string& /*aKind*/,
                           std::uint64_t aFrom,
                           const std::string& aBody)
{
  auto delta = DecodeItems(aBody, kListLevel, DeltaFrom);
  if (delta) {
    delta->mFrom = aFrom;
  }
  return delta;
}

Decoded<std::uint64_t>
NativeDialect::ReadWritten(const std::string& aBody)
{
  return DecodeJson(aBody, [](const Poco::JSON::Object& aJson) {
    return aJson.getValue<std::uint64_t>("version");
  });
}

} // namespace porttiller
