#include "porttiller/store/ObjectClient.h"

#include "porttiller/config/JsonText.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace porttiller {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

StoreError
MakeError(StoreErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

Poco::Timespan
ToTimespan(Millis aTime)
{
  return { std::chrono::duration_cast<Micros>(aTime).count() };
}

StoreErrorKind
ErrorKindOf(HTTPResponse::HTTPStatus aStatus)
{
  switch (aStatus) {
    case HTTPResponse::HTTP_NOT_FOUND:
      return StoreErrorKind::kNotFound;
    case HTTPResponse::HTTP_CONFLICT:
    case HTTPResponse::HTTP_GONE:
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
      return StoreErrorKind::kConflict;
    case HTTPResponse::HTTP_BAD_REQUEST:
      return StoreErrorKind::kRejected;
    default:
      return StoreErrorKind::kUnavailable;
  }
}

// Whether an answer arrived whole. POCO takes a head or a body that the end of
// the connection cuts off for a whole one. Without a length only the body
// itself can tell.
bool
IsWhole(const HTTPResponse& aResponse, const std::string& aBody)
{
  if (aResponse.hasContentLength()) {
    return aResponse.getContentLength64() ==
           static_cast<std::int64_t>(aBody.size());
  }
  return aResponse.getStatus() == HTTPResponse::HTTP_NO_CONTENT ||
         ParseJsonObject(aBody).has_value();
}

// An answer that the dialect cannot decode becomes kBadAnswer.
template<typename T>
ObjectClient::Result<T>
ToResult(Decoded<T> aDecoded)
{
  if (!aDecoded) {
    return tl::make_unexpected(
      MakeError(StoreErrorKind::kBadAnswer, aDecoded.error().mDetail));
  }
  return std::move(*aDecoded);
}

} // namespace

const char*
ToText(StoreErrorKind aKind)
{
  switch (aKind) {
    case StoreErrorKind::kUnavailable:
      return "unavailable";
    case StoreErrorKind::kAmbiguous:
      return "ambiguous";
    case StoreErrorKind::kNotFound:
      return "not found";
    case StoreErrorKind::kConflict:
      return "conflict";
    case StoreErrorKind::kBadAnswer:
      return "bad answer";
    case StoreErrorKind::kRejected:
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
      return; // already closed
    }
  }
}

// Whether the connection of an earlier call is open and can be reused.
bool
ObjectClient::IsConnected()
{
  const std::lock_guard lock(mMutex);
  return mSession && mSession->connected();
}

void
ObjectClient::Configure(Poco::Net::HTTPClientSession& aSession,
                        Millis aAnswerTime)
{
  const auto limit = ToTimespan(aAnswerTime);
  const auto timeout = ToTimespan(mOptions.mTimeout);
  aSession.setTimeout(timeout, timeout, limit);
  if (aSession.connected()) {
    // POCO applies setTimeout only when it connects.
    aSession.socket().setReceiveTimeout(limit);
  }
}

ObjectClient::Result<std::string>
ObjectClient::Send(const StoreCall& aCall)
{
  return Send(aCall, Millis(0), &aCall);
}

ObjectClient::Result<std::string>
ObjectClient::Send(const StoreCall& aCall,
                   Millis aExtraWait,
                   const StoreCall* aRepeat)
{
  const bool isRead = aCall.mMethod == HTTPRequest::HTTP_GET;
  if (isRead && IsConnected()) {
    const auto begin = Now();
    const auto readTimeout =
      std::min(mOptions.mReusedReadTimeout, mOptions.mTimeout);
    auto answer = SendOnce(aCall, aExtraWait + readTimeout);
    if (answer || IsConnected()) {
      return answer; // an error is then the store's own answer
    }
    if (mOptions.mOnReusedReadFailed) {
      mOptions.mOnReusedReadFailed(
        std::chrono::duration_cast<Millis>(Now() - begin),
        answer.error().mDetail);
    }
    if (aRepeat == nullptr) {
      return answer;
    }
    return SendOnce(*aRepeat, mOptions.mTimeout);
  }
  return SendOnce(aCall, aExtraWait + mOptions.mTimeout);
}

ObjectClient::Result<std::string>
ObjectClient::SendOnce(const StoreCall& aCall, Millis aAnswerTime)
{
  bool sent = false;
  try {
    auto& session = Session();
    Configure(session, aAnswerTime);
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
    if (!IsWhole(response, body)) {
      throw Poco::Net::MessageException("the answer was cut");
    }
    if (response.getStatus() / 100 == 2) {
      return body;
    }
    return tl::make_unexpected(
      MakeError(ErrorKindOf(response.getStatus()),
                std::to_string(response.getStatus()) + " " + body));
  } catch (const Poco::Exception& e) {
    DropSession();
    const bool write = aCall.mMethod != HTTPRequest::HTTP_GET;
    return tl::make_unexpected(MakeError(
      sent && write ? StoreErrorKind::kAmbiguous : StoreErrorKind::kUnavailable,
      e.displayText()));
  }
}

ObjectClient::Result<Object>
ObjectClient::Get(const ObjectKey& aKey)
{
  return std::visit(
    [&](const auto& aDialect) -> Result<Object> {
      return Send(aDialect.Get(aKey)).and_then([&](const std::string& aBody) {
        return ToResult(aDialect.ReadObject(aKey.mKind, aBody));
      });
    },
    mOptions.mDialect);
}

ObjectClient::Result<ObjectDelta>
ObjectClient::List(const std::string& aKind)
{
  ObjectDelta whole{ .mFull = true };
  std::string after;
  bool more = false;
  do {
    const auto page = ReadPage(aKind, after);
    if (!page) {
      return tl::make_unexpected(page.error());
    }
    if (after.empty()) {
      // Watches continue from the first page: an object on it may change before
      // the next page is read.
      whole.mTo = page->mDelta.mTo;
      whole.mCursor = page->mDelta.mCursor;
    }
    whole.mObjects.insert(whole.mObjects.end(),
                          page->mDelta.mObjects.begin(),
                          page->mDelta.mObjects.end());
    whole.mUnreadable.insert(whole.mUnreadable.end(),
                             page->mDelta.mUnreadable.begin(),
                             page->mDelta.mUnreadable.end());
    // Names ascend from page to page; the check prevents an endless loop.
    more = page->mNext > after;
    after = page->mNext;
  } while (more);
  return whole;
}

ObjectClient::Result<ObjectPage>
ObjectClient::ReadPage(const std::string& aKind, const std::string& aAfter)
{
  return std::visit(
    [&](const auto& aDialect) -> Result<ObjectPage> {
      return Send(aDialect.List(aKind, aAfter))
        .and_then([&](const std::string& aBody) {
          return ToResult(aDialect.ReadPage(aKind, aBody));
        });
    },
    mOptions.mDialect);
}

ObjectClient::Result<ObjectDelta>
ObjectClient::Watch(const std::string& aKind, std::uint64_t aFrom, Millis aWait)
{
  return std::visit(
    [&](const auto& aDialect) -> Result<ObjectDelta> {
      const auto repeat = aDialect.Watch(aKind, aFrom, Millis(0));
      return Send(aDialect.Watch(aKind, aFrom, aWait),
                  aWait,
                  mOptions.mRepeatWatches ? &repeat : nullptr)
        .and_then([&](const std::string& aBody) {
          return ToResult(aDialect.ReadChanges(aKind, aFrom, aBody));
        });
    },
    mOptions.mDialect);
}

ObjectClient::Result<ObjectDelta>
ObjectClient::ListConfiguration()
{
  return std::visit(
    [&](const auto& aDialect) -> Result<ObjectDelta> {
      return Send(aDialect.ListConfiguration())
        .and_then([&](const std::string& aBody) {
          return ToResult(aDialect.ReadConfiguration(aBody));
        });
    },
    mOptions.mDialect);
}

ObjectClient::Result<ObjectDelta>
ObjectClient::WatchConfiguration(std::uint64_t aFrom, Millis aWait)
{
  return std::visit(
    [&](const auto& aDialect) -> Result<ObjectDelta> {
      const auto repeat = aDialect.WatchConfiguration(aFrom, Millis(0));
      return Send(aDialect.WatchConfiguration(aFrom, aWait),
                  aWait,
                  mOptions.mRepeatWatches ? &repeat : nullptr)
        .and_then([&](const std::string& aBody) {
          return ToResult(aDialect.ReadConfigurationChanges(aFrom, aBody));
        });
    },
    mOptions.mDialect);
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Write(const StoreCall& aCall)
{
  return Send(aCall).and_then([&](const std::string& aBody) {
    return std::visit(
      [&](const auto& aDialect) {
        return ToResult(aDialect.ReadWritten(aBody));
      },
      mOptions.mDialect);
  });
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Create(const ObjectKey& aKey, const std::string& aSpec)
{
  return Write(std::visit(
    [&](const auto& aDialect) { return aDialect.Create(aKey, aSpec); },
    mOptions.mDialect));
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Update(const ObjectKey& aKey,
                     std::uint64_t aVersion,
                     const std::string& aSpec)
{
  return Write(std::visit(
    [&](const auto& aDialect) {
      return aDialect.Update(aKey, aVersion, aSpec);
    },
    mOptions.mDialect));
}

ObjectClient::Result<std::uint64_t>
ObjectClient::Delete(const ObjectKey& aKey, std::uint64_t aVersion)
{
  return Write(std::visit(
    [&](const auto& aDialect) { return aDialect.Delete(aKey, aVersion); },
    mOptions.mDialect));
}

} // namespace porttiller
