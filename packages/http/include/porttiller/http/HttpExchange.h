// One request on its connection to another process, and the answer to it.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/Cancellation.h"
#include "porttiller/http/HttpTypes.h"

#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace porttiller {

enum class ExchangeError
{
  kBusy,       // every connection is in use; nothing was sent
  kNotSent,    // not one byte of the request left this process
  kTimeout,    // sent, no answer in time
  kCancelled,  // sent, and given up by this side
  kClosed,     // sent, closed before an answer began
  kCut,        // the answer ended early
  kBadFraming, // the answer is no HTTP, or cannot be told apart from the next
  kTooLarge
};

const char*
ToText(ExchangeError aError);

// Asked now and then while something is awaited; true ends the wait.
using StopCheck = std::function<bool()>;
// Whether an answer belongs to the request. One that does not is dropped.
using AnswerCheck = std::function<bool(const HttpAnswer&)>;

class HttpPool;
struct ClientConnection;

// Dropped before its answer was read, it closes the connection, which tells
// the other side to stop.
class HttpExchange
{
public:
  // Waits look at their StopCheck this often.
  static constexpr Millis kSlice{ 400 };

  HttpExchange(HttpPool& aPool,
               std::unique_ptr<ClientConnection> aConnection,
               bool aHeadOnly);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Ends waits with kCancelled as soon as it is cancelled; may be null.
  void CancelWith(CancelFlag aCancelled) { mCancelled = std::move(aCancelled); }

  // True once something can be read, be it an answer or the connection's end.
  bool WaitReadable(TimePoint aUntil);
  tl::expected<HttpAnswer, ExchangeError> ReadAnswer(
    TimePoint aDeadline,
    const StopCheck& aStop = {},
    const AnswerCheck& aBelongs = {});

  // The request went out on a connection that had rested for this long; zero
  // on a new one. The other side may have been closing it.
  Micros Rested() const;

private:
  tl::expected<void, ExchangeError> ReadMessage(TimePoint aDeadline,
                                                const StopCheck& aStop);
  tl::expected<void, ExchangeError> ReadMore();
  void KeepOrDrop(const HttpAnswer& aAnswer);
  bool Cancelled() const { return mCancelled && mCancelled->IsCancelled(); }

  HttpPool& mPool;
  std::unique_ptr<ClientConnection> mConnection;
  CancelFlag mCancelled;
  bool mHeadOnly;
  bool mInStep = true; // every answer so far was the expected one
};

} // namespace porttiller
