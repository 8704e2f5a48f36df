// Client side of one HTTP request and its answer.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/Cancellation.h"
#include "porttiller/http/HttpTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace porttiller {

enum class ExchangeError
{
  kBusy,      // every connection is in use; nothing was sent
  kNotSent,   // no byte of the request was sent
  kTimeout,   // sent, no answer in time
  kCancelled, // sent, then cancelled by this side
  kClosed,    // sent, closed before an answer began
  kTruncated, // the connection ended within the answer
  kMalformed, // the answer is not valid HTTP, or its end is ambiguous
  kNoMemory,  // the body budget has no room for the answer
  kTooLarge
};

const char*
ToText(ExchangeError aError);

// Polled during a wait, at least every kStopCheckInterval; true ends the wait.
using StopCheck = std::function<bool()>;
// Whether an answer belongs to the request. A few that do not are discarded;
// then the exchange ends with kMalformed.
using AnswerCheck = std::function<bool(const HttpAnswer&)>;

class HttpPool;
struct ClientConnection;

// If destroyed before the answer was read, closes the connection, so that the
// peer can stop working on the request.
class HttpExchange
{
public:
  // Longest time between two calls of a StopCheck.
  static constexpr Millis kStopCheckInterval{ 400 };

  HttpExchange(HttpPool& aPool,
               std::unique_ptr<ClientConnection> aConnection,
               bool aHeadOnly);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Cancellation ends a wait at once, with kCancelled. May be null.
  void CancelWith(CancelFlag aCancelled) { mCancelled = std::move(aCancelled); }

  // True once the answer or the end of the connection can be read, false when
  // aUntil has passed.
  bool WaitReadable(TimePoint aUntil);
  tl::expected<HttpAnswer, ExchangeError> ReadAnswer(
    TimePoint aDeadline,
    const StopCheck& aStop = {},
    const AnswerCheck& aBelongs = {});

  // Bytes received so far, of the answer and of those before it.
  std::uint64_t ReceivedBytes() const { return mReceivedBytes; }
  // How long the connection was idle before it was reused for this request;
  // zero for a new one. The peer may close an idle connection at the moment
  // when a request is sent on it.
  Micros IdleTime() const;

private:
  tl::expected<void, ExchangeError> ReadMessage(TimePoint aDeadline,
                                                const StopCheck& aStop);
  tl::expected<void, ExchangeError> ReadMore();
  void KeepOrDrop(const HttpAnswer& aAnswer);
  bool Cancelled() const { return mCancelled && mCancelled->IsCancelled(); }

  HttpPool& mPool;
  std::unique_ptr<ClientConnection> mConnection;
  CancelFlag mCancelled;
  std::uint64_t mReceivedBytes = 0;
  bool mHeadOnly;
  bool mInSync = true; // every answer so far belonged to its request
};

} // namespace porttiller
