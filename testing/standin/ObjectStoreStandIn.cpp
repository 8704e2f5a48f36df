#include "standin/ObjectStoreStandIn.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/core/Ids.h"

namespace porttiller::standin {

namespace {

constexpr std::size_t kPageItems = 3; // small, so that tests see several pages
constexpr int kNoAnswer = 0;          // status of a reply that is not sent

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

std::string
Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const auto& text : aTexts) {
    joined += (joined.empty() ? "" : ",") + text;
  }
  return joined;
}

// The parsed body of a write.
struct WriteRequest
{
  std::string mName;
  std::uint64_t mRev = 0; // required current revision; 0: unconditional
  std::string mSpec;
};

WriteRequest
ParseWrite(const std::string& aBody)
{
  const auto document = ParseJsonObject(aBody);
  const auto metadata = (*document)->getObject("Metadata");
  return { .mName = metadata->getValue<std::string>("Name"),
           .mRev = metadata->optValue<std::uint64_t>("Rev", 0),
           .mSpec = ToJsonText(*(*document)->getObject("Spec")) };
}

} // namespace

ObjectStoreStandIn::ObjectStoreStandIn(const std::string& aAddress)
{
  mServer = std::make_unique<HttpStandIn>(
    aAddress,
    [this](auto& aRequest, auto& aResponse) { Handle(aRequest, aResponse); });
}

ObjectStoreStandIn::~ObjectStoreStandIn()
{
  SetDown(true);
}

void
ObjectStoreStandIn::SetDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
  mChanged.notify_all();
}

void
ObjectStoreStandIn::CutWatches()
{
  const std::lock_guard lock(mMutex);
  ++mCuts;
  mChanged.notify_all();
}

void
ObjectStoreStandIn::CompactHistory()
{
  const std::lock_guard lock(mMutex);
  mCompactedRevision = mRevision;
}

std::uint64_t
ObjectStoreStandIn::Put(const ObjectKey& aKey, const std::string& aSpec)
{
  const std::lock_guard lock(mMutex);
  return PutLocked(aKey, aSpec);
}

std::uint64_t
ObjectStoreStandIn::PutLocked(const ObjectKey& aKey, const std::string& aSpec)
{
  auto& object = mObjects[aKey];
  object.mKey = aKey;
  object.mVersion = ++mRevision;
  object.mSpecJson = aSpec;
  mChanged.notify_all();
  return mRevision;
}

std::string
ObjectStoreStandIn::SpecOf(const ObjectKey& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  return it == mObjects.end() ? "" : it->second.mSpecJson;
}

std::size_t
ObjectStoreStandIn::Count(const std::string& aKind) const
{
  const std::lock_guard lock(mMutex);
  std::size_t count = 0;
  for (const auto& [key, object] : mObjects) {
    count += key.mKind == aKind ? 1 : 0;
  }
  return count;
}

std::string
ObjectStoreStandIn::ObjectJson(const Object& aObject) const
{
  return R"({"Metadata":{"Name":")" + aObject.mKey.mName + R"(","Rev":)" +
         std::to_string(aObject.mVersion) +
         R"(,"Finalizers":[],"Deleting":false},"Spec":)" + aObject.mSpecJson +
         R"(,"Status":null})";
}

void
ObjectStoreStandIn::Handle(Poco::Net::HTTPServerRequest& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse)
{
  ++mCalls;
  const auto body = ReadBody(aRequest);
  if (mDown) {
    SendText(aResponse, 503, "{}");
    return;
  }
  const auto reply = Answer(aRequest.getMethod(), aRequest.getURI(), body);
  if (reply.mStatus == kNoAnswer) {
    CloseConnection(aRequest);
    return;
  }
  const bool wrote = aRequest.getMethod() != "GET" && reply.mStatus == 200;
  if (wrote && mLoseAnswers > 0) {
    --mLoseAnswers;
    CloseConnection(aRequest);
    return;
  }
  SendText(aResponse, reply.mStatus, reply.mBody);
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Answer(const std::string& aMethod,
                           const std::string& aUri,
                           const std::string& aBody)
{
  const Poco::URI uri(aUri);
  std::vector<std::string> segments; // porttiller, objects, kind, name
  uri.getPathSegments(segments);
  if (segments.size() < 3 || segments[1] != "objects") {
    return { .mStatus = 404, .mBody = "{}" };
  }
  const auto& kind = segments[2];
  if (segments.size() > 3) {
    const ObjectKey key{ kind, segments[3] };
    if (aMethod == "DELETE") {
      return Remove(key, ParseUnsigned(Parameter(uri, "Rev")).value_or(0));
    }
    return aMethod == "GET" ? Read(key) : Replace(key, aBody);
  }
  if (aMethod == "POST") {
    return Create(kind, aBody);
  }
  if (const auto from = ParseUnsigned(Parameter(uri, "Watch"))) {
    const auto wait = ParseUnsigned(Parameter(uri, "WaitMs")).value_or(0);
    return Watch(kind, *from, Millis(wait));
  }
  return List(kind, Parameter(uri, "after"));
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Read(const ObjectKey& aKey) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return { .mStatus = 404, .mBody = "{}" };
  }
  return { .mBody = ObjectJson(it->second) };
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::List(const std::string& aKind,
                         const std::string& aAfter) const
{
  auto page = ListPage(aKind, aAfter);
  if (mOnPage) {
    mOnPage();
  }
  return page;
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::ListPage(const std::string& aKind,
                             const std::string& aAfter) const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> items;
  bool more = false;
  for (const auto& [key, object] : mObjects) {
    if (key.mKind != aKind || key.mName <= aAfter) {
      continue;
    }
    more = items.size() == kPageItems;
    if (more) {
      break;
    }
    items.push_back(ObjectJson(object));
  }
  return { .mBody = R"({"items":[)" + Join(items) + R"(],"MorePages":)" +
                    (more ? "true" : "false") + R"(,"StoreRevision":)" +
                    std::to_string(mRevision) + "}" };
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Watch(const std::string& aKind,
                          std::uint64_t aFrom,
                          Millis aWait)
{
  std::unique_lock lock(mMutex);
  if (aFrom < mCompactedRevision) {
    return { .mStatus = 410, .mBody = "{}" };
  }
  std::vector<std::string> events;
  const auto cuts = mCuts;
  mChanged.wait_for(lock, aWait, [&] {
    if (mMute || mCuts != cuts) {
      return mDown || mCuts != cuts;
    }
    for (const auto& [key, object] : mObjects) {
      if (key.mKind == aKind && object.mVersion > aFrom) {
        events.push_back(R"({"Deleted":false,"Object":)" + ObjectJson(object) +
                         "}");
      }
    }
    return mDown || !events.empty();
  });
  if (mCuts != cuts) {
    return { .mStatus = kNoAnswer };
  }
  return { .mBody = R"({"events":[)" + Join(events) + R"(],"StoreRevision":)" +
                    std::to_string(mRevision) + "}" };
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Create(const std::string& aKind, const std::string& aBody)
{
  const auto written = ParseWrite(aBody);
  const ObjectKey key{ aKind, written.mName };
  const std::lock_guard lock(mMutex);
  if (mObjects.contains(key)) {
    return { .mStatus = 409, .mBody = ObjectJson(mObjects[key]) };
  }
  PutLocked(key, written.mSpec);
  return { .mBody = ObjectJson(mObjects[key]) };
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Replace(const ObjectKey& aKey, const std::string& aBody)
{
  const auto written = ParseWrite(aBody);
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return { .mStatus = 404, .mBody = "{}" };
  }
  if (written.mRev != 0 && written.mRev != it->second.mVersion) {
    return { .mStatus = 409, .mBody = ObjectJson(it->second) };
  }
  PutLocked(aKey, written.mSpec);
  return { .mBody = ObjectJson(mObjects[aKey]) };
}

ObjectStoreStandIn::Reply
ObjectStoreStandIn::Remove(const ObjectKey& aKey, std::uint64_t aVersion)
{
  const std::lock_guard lock(mMutex);
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return { .mStatus = 404, .mBody = "{}" };
  }
  Reply reply{ .mBody = ObjectJson(it->second) };
  if (aVersion != 0 && aVersion != it->second.mVersion) {
    reply.mStatus = 409;
    return reply;
  }
  ++mRevision;
  mObjects.erase(it);
  return reply;
}

} // namespace porttiller::standin
