// Kept-alive HTTP connections to one address, bounded in number. Never sends a
// request twice.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/HttpExchange.h"
#include "porttiller/http/HttpTypes.h"
#include "porttiller/http/MessageReader.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

struct HttpPoolOptions
{
  std::string mAddress; // "ip:port"
  int mMaxConnections = 16;
  // Idle connections are closed after this, or sooner if the other side says
  // so in Keep-Alive.
  Millis mIdleClose{ 10'000 };
  Millis mConnectTimeout{ 1000 };
  // Sent bytes may stay unacknowledged for so long; see SetUserTimeout.
  Millis mUserTimeout{ 3000 };
  MessageLimits mLimits;
};

// Must outlive its exchanges. Thread-safe.
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions aOptions);
  ~HttpPool();

  // Sends the request; an error other than kBusy and kNotSent means that the
  // other side may have it.
  tl::expected<std::unique_ptr<HttpExchange>, ExchangeError> Begin(
    const HttpRequestData& aRequest,
    TimePoint aDeadline);

  // Closes the idle connections: one of the pool went silent, and a device on
  // the path that forgot it may have forgotten them, too.
  void DropIdle();

  const HttpPoolOptions& Options() const { return mOptions; }
  // Connections made since the start.
  std::uint64_t Opened() const;

private:
  friend class HttpExchange;

  std::unique_ptr<ClientConnection> TakeIdle();
  tl::expected<std::unique_ptr<ClientConnection>, ExchangeError> Connect(
    TimePoint aDeadline);
  bool Reserve();
  void Return(std::unique_ptr<ClientConnection> aConnection);
  void Drop();

  HttpPoolOptions mOptions;
  mutable std::mutex mMutex;
  std::deque<std::unique_ptr<ClientConnection>> mIdle; // newest last
  int mInUse = 0;
  std::uint64_t mOpened = 0;
};

} // namespace porttiller
