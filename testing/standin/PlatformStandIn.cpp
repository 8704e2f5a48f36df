#include "standin/PlatformStandIn.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/core/Ids.h"

#include <Poco/URI.h>
#include <algorithm>
#include <thread>

namespace porttiller::standin {

namespace {

constexpr const char* kObjects = "/v1/objects";
constexpr const char* kWatch = "/v1/watch";
constexpr const char* kControl = "/control";

std::string
Parameter(const Poco::URI& aUri, const std::string& aName)
{
  for (const auto& [name, value] : aUri.getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

bool
ListsKind(const std::string& aKinds, const std::string& aKind)
{
  return ("," + aKinds + ",").find("," + aKind + ",") != std::string::npos;
}

// The spec as it was put, whether it can be parsed or not.
std::string
ToText(const Object& aObject)
{
  Poco::JSON::Object json;
  json.set("kind", aObject.mKey.mKind);
  json.set("name", aObject.mKey.mName);
  json.set("version", aObject.mVersion);
  if (aObject.mDeleted) {
    json.set("deleted", true);
    return ToJsonText(json);
  }
  auto text = ToJsonText(json);
  text.pop_back();
  return text + ",\"spec\":" + aObject.mSpecJson + "}";
}

std::string
ItemsText(std::uint64_t aRevision, const std::vector<std::string>& aItems)
{
  std::string items;
  for (const auto& item : aItems) {
    items += (items.empty() ? "" : ",") + item;
  }
  return "{\"revision\":" + std::to_string(aRevision) + ",\"items\":[" + items +
         "]}";
}

// The key of "/v1/objects/<kind>/<name>"; an empty kind for any other path. A
// name may contain slashes.
ObjectKey
KeyOf(const Poco::URI& aUri)
{
  std::vector<std::string> segments;
  aUri.getPathSegments(segments);
  if (segments.size() < 4) {
    return {};
  }
  ObjectKey key{ segments[2], segments[3] };
  for (std::size_t i = 4; i < segments.size(); ++i) {
    key.mName += "/" + segments[i];
  }
  return key;
}

bool
DecrementIfPositive(std::atomic<int>& aCount)
{
  int left = aCount;
  while (left > 0) {
    if (aCount.compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return false;
}

} // namespace

PlatformStandIn::PlatformStandIn(const std::string& aAddress)
{
  mServer = std::make_unique<HttpStandIn>(
    aAddress,
    [this](auto& aRequest, auto& aResponse) { Handle(aRequest, aResponse); });
}

PlatformStandIn::~PlatformStandIn()
{
  SetDown(true);
  mServer.reset();
}

void
PlatformStandIn::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
  mChanged.notify_all();
}

std::uint64_t
PlatformStandIn::PutLocked(const ObjectKey& aKey,
                           bool aDeleted,
                           const std::string& aSpec)
{
  ++mRevision;
  ++mWrites;
  const Object object{ .mKey = aKey,
                       .mVersion = mRevision,
                       .mDeleted = aDeleted,
                       .mSpecJson = aSpec };
  mChanges.push_back(object);
  if (aDeleted) {
    mObjects.erase(aKey);
  } else {
    mObjects[aKey] = object;
  }
  mChanged.notify_all();
  return mRevision;
}

std::uint64_t
PlatformStandIn::Put(const ObjectKey& aKey, const std::string& aSpec)
{
  const std::lock_guard lock(mMutex);
  return PutLocked(aKey, false, aSpec);
}

void
PlatformStandIn::Remove(const ObjectKey& aKey)
{
  const std::lock_guard lock(mMutex);
  PutLocked(aKey, true, "");
}

std::string
PlatformStandIn::SpecOf(const ObjectKey& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  return it == mObjects.end() ? "" : it->second.mSpecJson;
}

PlatformStandIn::Reply
PlatformStandIn::Read(const std::string& aUri) const
{
  const Poco::URI uri(aUri);
  const std::lock_guard lock(mMutex);
  if (uri.getPath() == kObjects) {
    const auto kinds = Parameter(uri, "kinds");
    std::vector<std::string> items;
    for (const auto& [key, object] : mObjects) {
      if (ListsKind(kinds, key.mKind)) {
        items.push_back(ToText(object));
      }
    }
    return { 200, ItemsText(mRevision, items) };
  }
  const auto it = mObjects.find(KeyOf(uri));
  if (it == mObjects.end()) {
    return { 404, R"({"error":"not found"})" };
  }
  return { 200, ToText(it->second) };
}

PlatformStandIn::Reply
PlatformStandIn::Watch(const std::string& aUri)
{
  const Poco::URI uri(aUri);
  const auto kinds = Parameter(uri, "kinds");
  const auto from = ParseUnsigned(Parameter(uri, "from")).value_or(0);
  const Millis wait(ParseUnsigned(Parameter(uri, "wait_ms")).value_or(0));
  std::unique_lock lock(mMutex);
  const auto hasChanges = [&] {
    return mDown || std::any_of(mChanges.rbegin(),
                                mChanges.rend(),
                                [&](const Object& aObject) {
                                  return aObject.mVersion > from &&
                                         ListsKind(kinds, aObject.mKey.mKind);
                                });
  };
  mChanged.wait_for(lock, wait, hasChanges);
  std::vector<std::string> items;
  for (const auto& object : mChanges) {
    if (object.mVersion > from && ListsKind(kinds, object.mKey.mKind)) {
      items.push_back(ToText(object));
    }
  }
  return { 200, ItemsText(mRevision, items) };
}

PlatformStandIn::Reply
PlatformStandIn::WriteObject(const std::string& aMethod,
                             const ObjectKey& aKey,
                             std::uint64_t aIfVersion,
                             const std::string& aBody)
{
  if (aKey.mKind.empty() || (aMethod != "DELETE" && !ParseJsonObject(aBody))) {
    return { 400, R"({"error":"bad request"})" };
  }
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  const bool exists = it != mObjects.end();
  if (aMethod == "POST" && exists) {
    return { 409, R"({"error":"exists"})" };
  }
  if (aMethod != "POST") {
    if (!exists) {
      return { 404, R"({"error":"not found"})" };
    }
    if (it->second.mVersion != aIfVersion) {
      return { 409, R"({"error":"version conflict"})" };
    }
  }
  const auto version = PutLocked(aKey, aMethod == "DELETE", aBody);
  return { 200, "{\"version\":" + std::to_string(version) + "}" };
}

void
PlatformStandIn::Handle(Poco::Net::HTTPServerRequest& aRequest,
                        Poco::Net::HTTPServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  if (uri.starts_with(kControl)) {
    Control(aRequest, aResponse);
    return;
  }
  ++mCalls;
  if (mDown) {
    CloseConnection(aRequest);
    return;
  }
  std::this_thread::sleep_for(Millis(mDelayMs));
  const auto body = ReadBody(aRequest);
  Reply reply;
  if (aRequest.getMethod() == "GET") {
    reply = uri.starts_with(kWatch) ? Watch(uri) : Read(uri);
  } else {
    if (DecrementIfPositive(mLoseWrites)) {
      CloseConnection(aRequest);
      return;
    }
    reply = WriteObject(aRequest.getMethod(),
                        KeyOf(Poco::URI(uri)),
                        ParseUnsigned(aRequest.get("If-Match", "")).value_or(0),
                        body);
    if (DecrementIfPositive(mLoseAnswers)) {
      CloseConnection(aRequest);
      return;
    }
  }
  if (mDown) {
    CloseConnection(aRequest);
    return;
  }
  SendText(aResponse, reply.mStatus, reply.mBody);
}

void
PlatformStandIn::Control(Poco::Net::HTTPServerRequest& aRequest,
                         Poco::Net::HTTPServerResponse& aResponse)
{
  const auto json = ParseJsonObject(ReadBody(aRequest));
  if (json) {
    SetDown((*json)->optValue("down", mDown.load()));
    mDelayMs = (*json)->optValue("slow_ms", mDelayMs.load());
    mLoseAnswers = (*json)->optValue("lose_write_answers", 0);
    mLoseWrites = (*json)->optValue("lose_writes", 0);
  }
  SendText(aResponse,
           200,
           "{\"calls\":" + std::to_string(mCalls) +
             ",\"writes\":" + std::to_string(mWrites) + "}");
}

} // namespace porttiller::standin
