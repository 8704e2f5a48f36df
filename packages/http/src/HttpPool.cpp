#include "porttiller/http/HttpPool.h"

#include "ClientConnectionPriv.h"
#include "SocketsPriv.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr std::size_t kSliceBytes = 1 << 20; // of one write

// An idle connection that is readable was closed by the peer, or has bytes that
// belong to no request.
bool
HasNoInput(const ClientConnection& aConnection)
{
  return !AwaitReadable(aConnection.mSocket, Micros(0));
}

enum class SendResult
{
  kSent,
  kNothingSent,
  kPartlySent
};

// Writes head and body, gathered, in slices: the deadline is checked between
// them, so a peer that reads slowly cannot extend it.
SendResult
SendAll(ClientConnection& aConnection,
        const std::vector<std::string_view>& aParts,
        TimePoint aDeadline)
{
  std::size_t size = 0;
  for (const auto part : aParts) {
    size += part.size();
  }
  std::size_t sent = 0;
  try {
    while (sent < size) {
      const auto left = aDeadline - Now();
      if (sent > 0 && left <= Micros(0)) {
        break;
      }
      aConnection.mSocket.setSendTimeout(ToTimespan(left));
      const int taken =
        aConnection.mSocket.sendBytes(ToBuffers(aParts, sent, kSliceBytes));
      if (taken <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(taken);
    }
  } catch (const Poco::Exception&) {
    return sent == 0 ? SendResult::kNothingSent : SendResult::kPartlySent;
  }
  if (sent == size) {
    return SendResult::kSent;
  }
  return sent == 0 ? SendResult::kNothingSent : SendResult::kPartlySent;
}

} // namespace

HttpPool::HttpPool(HttpPoolOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

HttpPool::~HttpPool() = default;

std::uint64_t
HttpPool::Opened() const
{
  const std::lock_guard lock(mMutex);
  return mOpened;
}

void
HttpPool::DropIdle()
{
  // Destroyed, and so closed, after the lock is released.
  std::deque<std::unique_ptr<ClientConnection>> idle;
  const std::lock_guard lock(mMutex);
  idle.swap(mIdle);
}

bool
HttpPool::HasIdle() const
{
  const std::lock_guard lock(mMutex);
  return !mIdle.empty();
}

bool
HttpPool::HasOpenIdle() const
{
  const std::lock_guard lock(mMutex);
  return std::any_of(mIdle.begin(), mIdle.end(), [](const auto& aConnection) {
    return HasNoInput(*aConnection);
  });
}

bool
HttpPool::Reserve()
{
  const std::lock_guard lock(mMutex);
  if (mInUse >= mOptions.mMaxConnections) {
    return false;
  }
  ++mInUse;
  return true;
}

std::unique_ptr<ClientConnection>
HttpPool::TakeIdle()
{
  const auto now = Now();
  // Destroyed, and so closed, after the lock is released.
  std::deque<std::unique_ptr<ClientConnection>> old;
  std::unique_ptr<ClientConnection> taken;
  const std::lock_guard lock(mMutex);
  while (!mIdle.empty() &&
         now >= mIdle.front()->mIdleSince + mOptions.mIdleClose) {
    old.push_back(std::move(mIdle.front()));
    mIdle.pop_front();
  }
  while (!mIdle.empty() && !taken) {
    auto newest = std::move(mIdle.back());
    mIdle.pop_back();
    const bool usable = now < newest->mUsableUntil && HasNoInput(*newest);
    auto& place = usable ? taken : old.emplace_back();
    place = std::move(newest);
  }
  if (taken) {
    taken->mIdleTime = now - taken->mIdleSince;
  }
  return taken;
}

tl::expected<std::unique_ptr<ClientConnection>, ListenerState>
HttpPool::Connect(TimePoint aDeadline)
{
  const auto limit =
    std::min<Micros>(aDeadline - Now(), mOptions.mConnectTimeout);
  auto connection = std::make_unique<ClientConnection>(ClientConnection{
    .mReader = MessageReader(
      MessageKind::kAnswer, mOptions.mLimits, mOptions.mBodyBudget) });
  try {
    connection->mSocket.connect(Poco::Net::SocketAddress(mOptions.mAddress),
                                ToTimespan(limit));
    connection->mSocket.setNoDelay(true);
    SetUserTimeout(connection->mSocket, mOptions.mUserTimeout);
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return tl::make_unexpected(ListenerState::kRefuses);
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(ListenerState::kUnknown);
  }
  const std::lock_guard lock(mMutex);
  ++mOpened;
  return connection;
}

ListenerState
HttpPool::Probe()
{
  auto made = Connect(Now() + mOptions.mConnectTimeout);
  if (!made) {
    return made.error();
  }
  if (Reserve()) {
    Return(std::move(*made));
  }
  return ListenerState::kAccepts;
}

void
HttpPool::Return(std::unique_ptr<ClientConnection> aConnection)
{
  const std::lock_guard lock(mMutex);
  --mInUse;
  aConnection->mIdleSince = Now();
  mIdle.push_back(std::move(aConnection));
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
  if (!Reserve()) {
    return tl::make_unexpected(ExchangeError::kBusy);
  }
  const auto head = HeadToWire(aRequest);
  const std::vector<std::string_view> parts{ head, aRequest.mBody.View() };
  for (;;) {
    auto connection = TakeIdle();
    const bool reused = connection != nullptr;
    if (!reused) {
      auto made = Connect(aDeadline);
      if (!made) {
        Drop();
        return tl::make_unexpected(ExchangeError::kNotSent);
      }
      connection = std::move(*made);
    }
    connection->mReader.Next(aRequest.mMethod == "HEAD");
    const auto result = SendAll(*connection, parts, aDeadline);
    if (result == SendResult::kSent) {
      return std::make_unique<HttpExchange>(
        *this, std::move(connection), aRequest.mMethod == "HEAD");
    }
    if (result == SendResult::kNothingSent && reused) {
      continue; // the peer had closed it; try another one
    }
    Drop();
    return tl::make_unexpected(result == SendResult::kNothingSent
                                 ? ExchangeError::kNotSent
                                 : ExchangeError::kClosed);
  }
}

} // namespace porttiller
