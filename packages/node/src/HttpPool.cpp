#include "porttiller/node/HttpPool.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr std::size_t kReadChunk = 16384;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

Poco::Timespan
ToTimespan(Micros aTime)
{
  return { std::max<std::int64_t>(1, aTime.count()) };
}

Poco::Net::HTTPRequest
MakeRequest(const HttpRequestData& aData)
{
  Poco::Net::HTTPRequest request(
    aData.mMethod, aData.mTarget, Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& header : aData.mHeaders) {
    request.add(header.mName, header.mValue);
  }
  const bool bodyless =
    aData.mBody.empty() && (aData.mMethod == "GET" || aData.mMethod == "HEAD");
  if (!bodyless) {
    request.setContentLength64(static_cast<std::int64_t>(aData.mBody.size()));
  }
  request.setKeepAlive(true);
  return request;
}

} // namespace

// Counts what has left this process, and never re-sends: POCO's own client
// writes a request again when the first write on a kept connection fails.
class PooledSession : public Poco::Net::HTTPClientSession
{
public:
  explicit PooledSession(const Poco::Net::SocketAddress& aAddress)
    : HTTPClientSession(aAddress)
  {
    setKeepAlive(true);
    // Idle connections are closed by the pool; POCO must not reconnect.
    setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS));
  }

  void BeginRequest() { mWritten = 0; }
  std::int64_t Written() const { return mWritten; }

protected:
  int write(const char* aBuffer, std::streamsize aLength) override
  {
    // Past HTTPClientSession::write on purpose: that is what re-sends.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    const int written = HTTPSession::write(aBuffer, aLength);
    mWritten += written;
    return written;
  }

private:
  std::int64_t mWritten = 0;
};

const char*
ToText(ExchangeError aError)
{
  switch (aError) {
    case ExchangeError::kBusy:
      return "busy";
    case ExchangeError::kNotSent:
      return "not-sent";
    case ExchangeError::kTimeout:
      return "timeout";
    case ExchangeError::kClosed:
      return "closed";
    case ExchangeError::kCut:
      return "cut";
    case ExchangeError::kBadFraming:
      return "bad-framing";
    case ExchangeError::kTooLarge:
      break;
  }
  return "too-large";
}

HttpPool::HttpPool(HttpPoolOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<PooledSession>
HttpPool::Take()
{
  std::deque<Idle> old;
  std::unique_ptr<PooledSession> session;
  {
    const std::lock_guard lock(mMutex);
    if (mInUse >= mOptions.mMaxConnections) {
      return nullptr;
    }
    ++mInUse;
    const auto oldest = Now() - mOptions.mIdleClose;
    while (!mIdle.empty() && mIdle.front().mSince < oldest) {
      old.push_back(std::move(mIdle.front()));
      mIdle.pop_front();
    }
    if (!mIdle.empty()) {
      session = std::move(mIdle.back().mSession);
      mIdle.pop_back();
    }
  }
  // Readable while idle means closed by the other side, or out of step.
  if (session && session->socket().poll(Poco::Timespan(0),
                                        Poco::Net::Socket::SELECT_READ)) {
    session.reset();
  }
  if (!session) {
    session = std::make_unique<PooledSession>(
      Poco::Net::SocketAddress(mOptions.mAddress));
  }
  return session;
}

void
HttpPool::Return(std::unique_ptr<PooledSession> aSession)
{
  const std::lock_guard lock(mMutex);
  --mInUse;
  mIdle.push_back({ std::move(aSession), Now() });
}

void
HttpPool::Drop()
{
  const std::lock_guard lock(mMutex);
  --mInUse;
}

tl::expected<std::unique_ptr<HttpExchange>, ExchangeError>
HttpPool::Begin(const HttpRequestData& aRequest, TimePoint aDeadline)
{
  auto session = Take();
  if (!session) {
    return tl::make_unexpected(ExchangeError::kBusy);
  }
  const bool headOnly = aRequest.mMethod == "HEAD";
  auto* raw = session.get();
  auto exchange =
    std::make_unique<HttpExchange>(*this, std::move(session), headOnly);
  const auto left = ToTimespan(aDeadline - Now());
  const auto connect =
    std::min(left, ToTimespan(Micros(mOptions.mConnectTimeout)));
  raw->BeginRequest();
  try {
    raw->setTimeout(connect, left, left);
    auto request = MakeRequest(aRequest);
    raw->sendRequest(request) << aRequest.mBody;
    raw->flushRequest();
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(raw->Written() == 0 ? ExchangeError::kNotSent
                                                   : ExchangeError::kClosed);
  }
  return exchange;
}

HttpExchange::HttpExchange(HttpPool& aPool,
                           std::unique_ptr<PooledSession> aSession,
                           bool aHeadOnly)
  : mPool(aPool)
  , mSession(std::move(aSession))
  , mHeadOnly(aHeadOnly)
{
}

HttpExchange::~HttpExchange()
{
  if (mSession) {
    mPool.Drop();
  }
}

bool
HttpExchange::WaitReadable(TimePoint aUntil)
{
  const auto left = ToTimespan(aUntil - Now());
  try {
    return mSession->socket().poll(left, Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return true; // reading tells what is wrong
  }
}

tl::expected<HttpAnswer, ExchangeError>
HttpExchange::ReadAnswer(TimePoint aDeadline)
{
  HttpAnswer answer;
  bool reusable = false;
  try {
    mSession->socket().setReceiveTimeout(ToTimespan(aDeadline - Now()));
    Poco::Net::HTTPResponse response;
    auto& stream = mSession->receiveResponse(response);
    answer.mStatus = response.getStatus();
    for (const auto& [name, value] : response) {
      answer.mHeaders.push_back({ name, value });
    }
    reusable = response.getKeepAlive();
    const bool bodyless = mHeadOnly || answer.mStatus == kNoContent ||
                          answer.mStatus == kNotModified;
    if (!bodyless) {
      if (!response.hasContentLength() ||
          response.getChunkedTransferEncoding()) {
        return tl::make_unexpected(ExchangeError::kBadFraming);
      }
      auto body = ReadBody(stream, response.getContentLength64(), aDeadline);
      if (!body) {
        return tl::make_unexpected(body.error());
      }
      answer.mBody = std::move(*body);
    }
  } catch (const Poco::TimeoutException&) {
    return tl::make_unexpected(ExchangeError::kTimeout);
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(answer.mStatus == 0 ? ExchangeError::kClosed
                                                   : ExchangeError::kCut);
  }
  if (reusable) {
    mPool.Return(std::move(mSession));
  }
  return answer;
}

tl::expected<std::string, ExchangeError>
HttpExchange::ReadBody(std::istream& aStream,
                       std::int64_t aLength,
                       TimePoint aDeadline)
{
  if (aLength < 0 ||
      aLength > static_cast<std::int64_t>(mPool.Options().mMaxAnswerBytes)) {
    return tl::make_unexpected(ExchangeError::kTooLarge);
  }
  const auto length = static_cast<std::size_t>(aLength);
  std::string body(length, '\0');
  std::size_t done = 0;
  while (done < length) {
    const auto want = std::min(kReadChunk, length - done);
    aStream.read(body.data() + done, static_cast<std::streamsize>(want));
    done += static_cast<std::size_t>(aStream.gcount());
    if (static_cast<std::size_t>(aStream.gcount()) < want) {
      return tl::make_unexpected(ExchangeError::kCut);
    }
    if (done < length && Now() > aDeadline) {
      return tl::make_unexpected(ExchangeError::kTimeout);
    }
  }
  return body;
}

} // namespace porttiller
