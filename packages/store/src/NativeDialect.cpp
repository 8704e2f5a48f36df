#include "porttiller/store/NativeDialect.h"

#include "porttiller/config/JsonText.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

namespace porttiller {

namespace {

constexpr const char* kConfigKinds = "Service,BackendServer,Route,Box,Limits";
constexpr const char* kObjectsPath = "/v1/objects/";

std::string
PathOf(const ObjectKey& aKey)
{
  std::string name;
  Poco::URI::encode(aKey.mName, "/?#&", name);
  return kObjectsPath + aKey.mKind + "/" + name;
}

Object
ObjectFrom(const Poco::JSON::Object& aJson)
{
  Object object;
  object.mKey = { aJson.getValue<std::string>("kind"),
                  aJson.getValue<std::string>("name") };
  object.mVersion = aJson.getValue<std::uint64_t>("version");
  object.mDeleted = aJson.optValue("deleted", false);
  if (!object.mDeleted) {
    object.mSpecJson = ToJsonText(*aJson.getObject("spec"));
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
    delta.mObjects.push_back(
      ObjectFrom(*items->getObject(static_cast<unsigned>(i))));
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
  auto delta = DecodeJson(aBody, DeltaFrom);
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
  return DecodeJson(aBody, ObjectFrom);
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
  auto delta = DecodeJson(aBody, DeltaFrom);
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
