// Bounded pool of keep-alive HTTP connections to one address. Never sends a
// request twice: it tries another connection only if no byte was sent.
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
  // Idle connections are closed after this, or sooner if the peer's Keep-Alive
  // header has a shorter timeout.
  Millis mIdleClose{ 10'000 };
  Millis mConnectTimeout{ 1000 };
  // How long sent bytes may stay unacknowledged; see SetUserTimeout.
  Millis mUserTimeout{ 3000 };
  MessageLimits mLimits;
  // Counts the bodies of answers, until their last copy is destroyed. An answer
  // is not read while there is no room for its body. Null: unlimited.
  std::shared_ptr<BodyBudget> mBodyBudget;
};

enum class ListenerState
{
  kAccepts,
  kRefuses, // the peer's system answered that nothing listens there
  kUnknown  // no answer in time, or another error
};

// Must outlive its exchanges. Thread-safe.
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions aOptions);
  ~HttpPool();

  // Sends the request. After any error but kBusy and kNotSent the peer may have
  // received it.
  tl::expected<std::unique_ptr<HttpExchange>, ExchangeError> Begin(
    const HttpRequestData& aRequest,
    TimePoint aDeadline);

  // Opens a connection, to learn whether the peer listens, and keeps it for a
  // later request.
  ListenerState Probe();

  // Whether the pool has an idle connection, which the peer may have closed.
  bool HasIdle() const;
  // Whether the peer keeps an idle connection of the pool open.
  bool HasOpenIdle() const;

  // Closes all idle connections. Used when one connection of the pool is
  // unresponsive: a NAT or firewall on the path that dropped its state may have
  // dropped the state of the others, too.
  void DropIdle();

  const HttpPoolOptions& Options() const { return mOptions; }
  // Number of connections made since the pool was created.
  std::uint64_t Opened() const;

private:
  friend class HttpExchange;

  std::unique_ptr<ClientConnection> TakeIdle();
  tl::expected<std::unique_ptr<ClientConnection>, ListenerState> Connect(
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
