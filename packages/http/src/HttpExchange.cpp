#include "porttiller/http/HttpExchange.h"

#include "ClientConnectionPriv.h"
#include "SocketsPriv.h"
#include "porttiller/http/HttpPool.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>

namespace porttiller {

namespace {

constexpr std::size_t kReadChunkBytes = 16 << 10;
// Late answers to earlier requests that may precede the expected one; more are
// no answer.
constexpr int kMaxForeignAnswers = 8;
constexpr std::string_view kTimeoutField = "timeout=";

ExchangeError
ErrorOf(MessageFault aFault)
{
  switch (aFault) {
    case MessageFault::kBodyTooLarge:
    case MessageFault::kHeadTooLarge:
      return ExchangeError::kTooLarge;
    case MessageFault::kNoMemory:
      return ExchangeError::kNoMemory;
    case MessageFault::kTruncated:
      return ExchangeError::kTruncated;
    case MessageFault::kMalformed:
      break;
  }
  return ExchangeError::kMalformed;
}

// When the peer's keep-alive timeout ends, less a tenth of it: a request that
// is sent later could arrive after the peer has closed the connection.
TimePoint
UsableUntil(const HttpAnswer& aAnswer)
{
  const auto text = HeaderValue(aAnswer.mHeaders, "Keep-Alive");
  const auto at = text.find(kTimeoutField);
  if (at == std::string::npos) {
    return TimePoint::max();
  }
  std::int64_t seconds = 0;
  for (auto i = at + kTimeoutField.size();
       i < text.size() && text[i] >= '0' && text[i] <= '9' && seconds < 3600;
       ++i) {
    seconds = seconds * 10 + (text[i] - '0');
  }
  constexpr std::int64_t kUsableMsPerSecond = 900;
  return Now() + Millis(seconds * kUsableMsPerSecond);
}

// Wakes threads that wait on the socket.
void
Shutdown(Poco::Net::StreamSocket aSocket)
{
  try {
    aSocket.shutdown();
  } catch (const Poco::Exception&) {
    return; // already closed, which wakes them as well
  }
}

} // namespace

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
    case ExchangeError::kCancelled:
      return "cancelled";
    case ExchangeError::kClosed:
      return "closed";
    case ExchangeError::kTruncated:
      return "cut";
    case ExchangeError::kMalformed:
      return "malformed";
    case ExchangeError::kNoMemory:
      return "no-memory";
    case ExchangeError::kTooLarge:
      break;
  }
  return "too-large";
}

HttpExchange::HttpExchange(HttpPool& aPool,
                           std::unique_ptr<ClientConnection> aConnection,
                           bool aHeadOnly)
  : mPool(aPool)
  , mConnection(std::move(aConnection))
  , mHeadOnly(aHeadOnly)
{
}

HttpExchange::~HttpExchange()
{
  if (mConnection) {
    mPool.Drop();
  }
}

Micros
HttpExchange::IdleTime() const
{
  return mConnection ? mConnection->mIdleTime : Micros(0);
}

bool
HttpExchange::WaitReadable(TimePoint aUntil)
{
  if (!mConnection->mIn.empty()) {
    return true;
  }
  // The watch ends with this call, as the connection may be reused for another
  // request.
  const auto watch =
    OnCancel(mCancelled, [socket = mConnection->mSocket] { Shutdown(socket); });
  return AwaitReadable(mConnection->mSocket, aUntil - Now());
}

tl::expected<HttpAnswer, ExchangeError>
HttpExchange::ReadAnswer(TimePoint aDeadline,
                         const StopCheck& aStop,
                         const AnswerCheck& aBelongs)
{
  for (int foreign = 0; foreign <= kMaxForeignAnswers; ++foreign) {
    if (auto read = ReadMessage(aDeadline, aStop); !read) {
      return tl::make_unexpected(read.error());
    }
    const bool keepAlive = mConnection->mReader.KeepAlive();
    auto answer = mConnection->mReader.TakeAnswer();
    if (!aBelongs || aBelongs(answer)) {
      mInSync = mInSync && keepAlive;
      KeepOrDrop(answer);
      return answer;
    }
    // A late answer to an earlier request; the expected one may follow.
    mInSync = false;
    if (!keepAlive) {
      return tl::make_unexpected(ExchangeError::kMalformed);
    }
    mConnection->mReader.Next(mHeadOnly);
  }
  return tl::make_unexpected(ExchangeError::kMalformed);
}

tl::expected<void, ExchangeError>
HttpExchange::ReadMessage(TimePoint aDeadline, const StopCheck& aStop)
{
  auto& connection = *mConnection;
  for (;;) {
    const auto used = connection.mReader.Feed(connection.mIn);
    if (!used) {
      return tl::make_unexpected(ErrorOf(used.error()));
    }
    connection.mIn.erase(0, *used);
    if (connection.mReader.IsComplete()) {
      return {};
    }
    const auto now = Now();
    if (Cancelled() || (aStop && aStop())) {
      return tl::make_unexpected(ExchangeError::kCancelled);
    }
    if (now >= aDeadline) {
      return tl::make_unexpected(ExchangeError::kTimeout);
    }
    const auto until = std::min<TimePoint>(aDeadline, now + kStopCheckInterval);
    if (connection.mReader.NeedsRoom()) {
      connection.mReader.AwaitRoom(until);
      continue;
    }
    if (!WaitReadable(until)) {
      continue;
    }
    if (Cancelled()) {
      return tl::make_unexpected(ExchangeError::kCancelled);
    }
    if (auto more = ReadMore(); !more) {
      return more;
    }
    if (connection.mReader.IsComplete()) {
      return {};
    }
  }
}

// Reads the available input. The end of the connection may complete the answer.
tl::expected<void, ExchangeError>
HttpExchange::ReadMore()
{
  auto& connection = *mConnection;
  std::array<char, kReadChunkBytes> buffer{};
  int size = 0;
  try {
    size = connection.mSocket.receiveBytes(buffer.data(), buffer.size());
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(connection.mReader.HasStarted()
                                 ? ExchangeError::kTruncated
                                 : ExchangeError::kClosed);
  }
  if (size > 0) {
    connection.mIn.append(buffer.data(), static_cast<std::size_t>(size));
    mReceivedBytes += static_cast<std::uint64_t>(size);
    return {};
  }
  mInSync = false;
  if (!connection.mReader.HasStarted()) {
    return tl::make_unexpected(ExchangeError::kClosed);
  }
  if (!connection.mReader.End()) {
    return tl::make_unexpected(ExchangeError::kTruncated);
  }
  return {};
}

// Returns the connection to the pool. One with bytes after the answer is
// closed: they belong to no request.
void
HttpExchange::KeepOrDrop(const HttpAnswer& aAnswer)
{
  if (!mInSync || !mConnection->mIn.empty()) {
    return;
  }
  mConnection->mIn.shrink_to_fit(); // it may stay idle for long
  mConnection->mUsableUntil = UsableUntil(aAnswer);
  mPool.Return(std::move(mConnection));
}

} // namespace porttiller
