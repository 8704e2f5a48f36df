#include "porttiller/store/ObjectClient.h"

#include "porttiller/config/JsonText.h"

#include <algorithm>

namespace porttiller {

namespace {

// An idle connection is not reused after this.
constexpr Millis kIdleClose{ 8000 };
// From the first byte of an answer to its last.
constexpr Millis kMaxTransferTime{ 30'000 };
// A page of a list has about 1 MB; a list without pages, as of a whole fleet,
// some MB.
constexpr std::size_t kMaxAnswerBytes = 16 << 20;
constexpr int kSuccessClass = 2;
constexpr int kStatusClass = 100;
constexpr int kFirstServerErrorStatus = 500;

StoreError
MakeError(StoreErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

bool
IsRead(const StoreCall& aCall)
{
  return aCall.mMethod == "GET";
}

// 503 says that nothing was done; another failure of the store may come after
// a write took effect.
StoreErrorKind
ErrorKindOf(const StoreCall& aCall, int aStatus)
{
  switch (aStatus) {
    case 404: // Not Found
      return StoreErrorKind::kNotFound;
    case 409: // Conflict
    case 410: // Gone
    case 412: // Precondition Failed
      return StoreErrorKind::kConflict;
    case 400: // Bad Request
      return StoreErrorKind::kRejected;
    case 503: // Service Unavailable
      return StoreErrorKind::kUnavailable;
    default:
      return !IsRead(aCall) && aStatus >= kFirstServerErrorStatus
               ? StoreErrorKind::kAmbiguous
               : StoreErrorKind::kUnavailable;
  }
}

// Whether the answer arrived whole. One that ends with its connection may have
// been cut, which only the body can show.
bool
IsWhole(const HttpAnswer& aAnswer)
{
  const bool endsByClose =
    !IsBodyless(aAnswer.mStatus) &&
    HeaderValue(aAnswer.mHeaders, "Content-Length").empty() &&
    HeaderValue(aAnswer.mHeaders, "Transfer-Encoding").empty();
  return !endsByClose || IsClosedJson(aAnswer.mBody.View());
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
  , mPool({ .mAddress = mOptions.mAddress,
            .mMaxConnections = 1,
            .mIdleClose = kIdleClose,
            .mConnectTimeout = mOptions.mTimeout,
            .mLimits = { .mMaxBodyBytes = kMaxAnswerBytes } })
{
}

void
ObjectClient::Abort()
{
  mAborted->Cancel();
}

HttpRequestData
ObjectClient::RequestOf(const StoreCall& aCall) const
{
  HttpRequestData request{ .mMethod = aCall.mMethod,
                           .mTarget = aCall.mPath,
                           .mHeaders = { { "Host", mOptions.mAddress },
                                         { "Content-Type",
                                           "application/json" } },
                           .mBody = aCall.mBody };
  if (aCall.mIfVersion != 0) {
    request.mHeaders.push_back(
      { "If-Match", std::to_string(aCall.mIfVersion) });
  }
  return request;
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
  if (!IsRead(aCall) || !mPool.HasIdle()) {
    return BodyOf(aCall, SendOnce(aCall, aExtraWait + mOptions.mTimeout));
  }
  const auto begin = Now();
  const auto readTimeout =
    std::min(mOptions.mReusedReadTimeout, mOptions.mTimeout);
  // Not silently over a new connection: a store that closed this one may fail.
  auto answer = mPool.HasOpenIdle()
                  ? SendOnce(aCall, aExtraWait + readTimeout)
                  : Exchanged(tl::make_unexpected(ExchangeError::kClosed));
  if (!answer) {
    mPool.DropIdle();
    if (mOptions.mOnReusedReadFailed) {
      mOptions.mOnReusedReadFailed(
        std::chrono::duration_cast<Millis>(Now() - begin),
        ToText(answer.error()));
    }
    if (aRepeat != nullptr) {
      answer = SendOnce(*aRepeat, mOptions.mTimeout);
    }
  }
  return BodyOf(aCall, std::move(answer));
}

ObjectClient::Exchanged
ObjectClient::SendOnce(const StoreCall& aCall, Millis aAnswerTime)
{
  if (mAborted->IsCancelled()) {
    return tl::make_unexpected(ExchangeError::kNotSent);
  }
  auto begun = mPool.Begin(RequestOf(aCall), Now() + mOptions.mTimeout);
  if (!begun) {
    return tl::make_unexpected(begun.error());
  }
  auto& exchange = **begun;
  exchange.CancelWith(mAborted);
  // One wait for the first byte: a long poll wakes the thread once.
  if (!exchange.WaitReadable(Now() + aAnswerTime)) {
    return tl::make_unexpected(ExchangeError::kTimeout);
  }
  auto lastBytes = exchange.ReceivedBytes();
  auto lastReceived = Now();
  const auto isStalled = [&] {
    if (exchange.ReceivedBytes() != lastBytes) {
      lastBytes = exchange.ReceivedBytes();
      lastReceived = Now();
    }
    return Now() >= lastReceived + aAnswerTime;
  };
  auto answer = exchange.ReadAnswer(Now() + kMaxTransferTime, isStalled);
  if (!answer && answer.error() == ExchangeError::kCancelled &&
      !mAborted->IsCancelled()) {
    return tl::make_unexpected(ExchangeError::kTimeout);
  }
  if (answer && !IsWhole(*answer)) {
    mPool.DropIdle();
    return tl::make_unexpected(ExchangeError::kTruncated);
  }
  return answer;
}

ObjectClient::Result<std::string>
ObjectClient::BodyOf(const StoreCall& aCall, Exchanged aAnswer)
{
  if (!aAnswer) {
    const bool sent = aAnswer.error() != ExchangeError::kNotSent;
    return tl::make_unexpected(MakeError(sent && !IsRead(aCall)
                                           ? StoreErrorKind::kAmbiguous
                                           : StoreErrorKind::kUnavailable,
                                         ToText(aAnswer.error())));
  }
  auto body = aAnswer->mBody.ToString();
  if (aAnswer->mStatus / kStatusClass == kSuccessClass) {
    return body;
  }
  return tl::make_unexpected(
    MakeError(ErrorKindOf(aCall, aAnswer->mStatus),
              std::to_string(aAnswer->mStatus) + " " + body));
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
