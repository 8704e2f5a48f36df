#include "porttiller/platform/ObjectClient.h"

#include "porttiller/config/JsonText.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <sstream>

namespace porttiller {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr const char* kConfigKinds = "Service,BackendServer,Route,Box";
constexpr const char* kObjectsPath = "/v1/objects/";

PlatformError
MakeError(PlatformErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

std::string
PathOf(const ObjectKey& aKey)
{
  std::string name;
  Poco::URI::encode(aKey.mName, "/?#&", name);
  return kObjectsPath + aKey.mKind + "/" + name;
}

Poco::Timespan
ToTimespan(Millis aTime)
{
  return { std::chrono::duration_cast<Micros>(aTime).count() };
}

Object
ReadObject(const Poco::JSON::Object& aJson)
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

PlatformErrorKind
KindOf(HTTPResponse::HTTPStatus aStatus)
{
  switch (aStatus) {
    case HTTPResponse::HTTP_NOT_FOUND:
      return PlatformErrorKind::kNotFound;
    case HTTPResponse::HTTP_CONFLICT:
    case HTTPResponse::HTTP_GONE:
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
      return PlatformErrorKind::kConflict;
    case HTTPResponse::HTTP_BAD_REQUEST:
      return PlatformErrorKind::kRefused;
    default:
      return PlatformErrorKind::kUnavailable;
  }
}

// Runs a reader over an answer; what the reader throws is a bad answer.
template<typename Reader>
auto
Decode(const std::string& aBody, Reader aReader)
  -> tl::expected<decltype(aReader(std::declval<Poco::JSON::Object&>())),
                  PlatformError>
{
  try {
    const auto json = ParseJsonObject(aBody);
    if (json) {
      return aReader(**json);
    }
  } catch (const Poco::Exception& e) {
    return tl::make_unexpected(
      MakeError(PlatformErrorKind::kBadAnswer, e.displayText()));
  }
  return tl::make_unexpected(
    MakeError(PlatformErrorKind::kBadAnswer, "the answer is no JSON object"));
}

} // namespace

const char*
ToText(PlatformErrorKind aKind)
{
  switch (aKind) {
    case PlatformErrorKind::kUnavailable:
      return "unavailable";
    case PlatformErrorKind::kAmbiguous:
      return "ambiguous";
    case PlatformErrorKind::kNotFound:
      return "not found";
    case PlatformErrorKind::kConflict:
      return "conflict";
    case PlatformErrorKind::kBadAnswer:
      return "bad answer";
    case PlatformErrorKind::kRefused:
      break;
  }
  return "refused";
}

ObjectClient::ObjectClient(ObjectClientOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

Poco::Net::HTTPClientSession&
ObjectClient::Session()
{
  const std::lock_guard lock(mMutex);
  if (mAborted) {
    throw Poco::Net::ConnectionAbortedException("client aborted");
  }
  if (!mSession) {
    mSession = std::make_unique<Poco::Net::HTTPClientSession>(
      Poco::Net::SocketAddress(mOptions.mAddress));
    mSession->setKeepAlive(true);
  }
  return *mSession;
}

void
ObjectClient::DropSession()
{
  const std::lock_guard lock(mMutex);
  mSession.reset();
}

void
ObjectClient::Abort()
{
  const std::lock_guard lock(mMutex);
  mAborted = true;
  if (mSession && mSession->connected()) {
    try {
      mSession->abort();
    } catch (const Poco::Exception&) {
      return; // it was closed already
    }
  }
}

ObjectClient::Result<std::string>
ObjectClient::Send(const Call& aCall)
{
  bool sent = false;
  try {
    auto& session = Session();
    session.setTimeout(ToTimespan(mOptions.mTimeout + aCall.mTimeout));
    HTTPRequest request(
      aCall.mMethod, aCall.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
    if (aCall.mIfVersion != 0) {
      request.set("If-Match", std::to_string(aCall.mIfVersion));
    }
    request.setContentType("application/json");
    request.setContentLength64(static_cast<std::int64_t>(aCall.mBody.size()));
    auto& out = session.sendRequest(request);
    sent = true;
    out << aCall.mBody << std::flush;
    HTTPResponse response;
    auto& in = session.receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(in, body);
    if (response.getStatus() / 100 == 2) {
      return body;
    }
    return tl::make_unexpected(
      MakeError(KindOf(response.getStatus()),
                std::to_string(response.getStatus()) + " " + body));
  } catch (const Poco::Exception& e) {
    DropSession();
    const bool write = aCall.mMethod != HTTPRequest::HTTP_GET;
    return tl::make_unexpected(MakeError(sent && write
                                           ? PlatformErrorKind::kAmbiguous
                                           : PlatformErrorKind::kUnavailable,
                                         e.displayText()));
  }
}

ObjectClient::Result<Object>
ObjectClient::Get(const ObjectKey& aKey)
{
  const auto body =
    Send({ .mMethod = HTTPRequest::HTTP_GET, .mPath = PathOf(aKey) });
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  return Decode(*body, ReadObject);
}

ObjectClient::Result<ObjectDelta>
ObjectClient::ReadDelta(const Call& aCall)
{
  const auto body = Send(aCall);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  return Decode(*body, [](const Poco::JSON::Object& aJson) {
    ObjectDelta delta;
    delta.mTo = aJson.getValue<std::uint64_t>("revision");
    const auto items = aJson.getArray("items");
    for (std::size_t i = 0; i < items->size(); ++i) {
      delta.mObjects.push_back(
        ReadObject(*items->getObject(static_cast<unsigned>(i))));
    }
    return delta;
  });
}

ObjectClient::Result<ObjectDelta>
ObjectClient::List(const std::string& aKind)
{
  const auto kinds = aKind.empty() ? kConfigKinds : aKind;
  auto delta = ReadDelta({ .mMethod = HTTPRequest::HTTP_GET,
                           .mPath = "/v1/objects?kinds=" + kinds });
  if (delta) {
    delta->mFull = true;
  }
  return delta;
}

ObjectClient::Result<ObjectDelta>
ObjectClient::Watch(const std::string& aKind, std::uint64_t aFrom, Millis aWait)
{
  const auto kinds = aKind.empty() ? kConfigKinds : aKind;
  auto delta = ReadDelta({ .mMethod = HTTPRequest::HTTP_GET,
                           .mPath = "/v1/watch?kinds=" + kinds +
                                    "&from=" + std::to_string(aFrom) +
                                    "&wait_ms=" + std::to_string(aWait.count()),
                           .mTimeout = aWait });
  if (delta) {
    delta->mFrom = aFrom;
  }
  return delta;
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Write(const Call& aCall)
{
  const auto body = Send(aCall);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  return Decode(*body, [](const Poco::JSON::Object& aJson) {
    return aJson.getValue<std::uint64_t>("version");
  });
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Create(const ObjectKey& aKey, const std::string& aSpec)
{
  return Write({ .mMethod = HTTPRequest::HTTP_POST,
                 .mPath = PathOf(aKey),
                 .mBody = aSpec });
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Update(const ObjectKey& aKey,
                     std::uint64_t aVersion,
                     const std::string& aSpec)
{
  return Write({ .mMethod = HTTPRequest::HTTP_PUT,
                 .mPath = PathOf(aKey),
                 .mBody = aSpec,
                 .mIfVersion = aVersion });
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Delete(const ObjectKey& aKey, std::uint64_t aVersion)
{
  return Write({ .mMethod = HTTPRequest::HTTP_DELETE,
                 .mPath = PathOf(aKey),
                 .mIfVersion = aVersion });
}

} // namespace porttiller
