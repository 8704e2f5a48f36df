// Kept-alive HTTP connections to one address, bounded in number. Never sends a
// request twice: what POCO's client would re-send is an error here.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/node/HttpTypes.h"

#include <Poco/Net/HTTPClientSession.h>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

enum class ExchangeError
{
  kBusy,       // every connection is in use; nothing was sent
  kNotSent,    // not one byte of the request left this process
  kTimeout,    // sent, no answer in time
  kClosed,     // sent, closed before an answer began
  kCut,        // the answer's body ended early
  kBadFraming, // the answer's end cannot be told: no Content-Length
  kTooLarge
};

const char*
ToText(ExchangeError aError);

struct HttpPoolOptions
{
  std::string mAddress; // "ip:port"
  int mMaxConnections = 16;
  Millis mIdleClose{ 10'000 };
  Millis mConnectTimeout{ 1000 };
  std::size_t mMaxAnswerBytes = 16 << 20;
};

class HttpPool;
class PooledSession;

// One request on its connection. Dropped before its answer was read, it closes
// the connection, which tells the other side to stop.
class HttpExchange
{
public:
  HttpExchange(HttpPool& aPool,
               std::unique_ptr<PooledSession> aSession,
               bool aHeadOnly);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // True once something can be read, be it an answer or the connection's end.
  bool WaitReadable(TimePoint aUntil);
  tl::expected<HttpAnswer, ExchangeError> ReadAnswer(TimePoint aDeadline);

private:
  tl::expected<std::string, ExchangeError> ReadBody(std::istream& aStream,
                                                    std::int64_t aLength,
                                                    TimePoint aDeadline);

  HttpPool& mPool;
  std::unique_ptr<PooledSession> mSession;
  bool mHeadOnly;
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

  const HttpPoolOptions& Options() const { return mOptions; }

private:
  friend class HttpExchange;

  struct Idle
  {
    std::unique_ptr<PooledSession> mSession;
    TimePoint mSince;
  };

  std::unique_ptr<PooledSession> Take();
  void Return(std::unique_ptr<PooledSession> aSession);
  void Drop();

  HttpPoolOptions mOptions;
  mutable std::mutex mMutex;
  std::deque<Idle> mIdle; // newest last
  int mInUse = 0;
};

} // namespace porttiller
