// HTTP/1.1 server. One I/O thread reads all connections and worker threads run
// the handler. An idle connection occupies no thread, pipelined requests can
// run concurrently, and a caller that disconnects is detected while its request
// is running.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/BodyBudget.h"
#include "porttiller/http/Cancellation.h"
#include "porttiller/http/HttpTypes.h"
#include "porttiller/http/MessageReader.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// A request as passed to its handler.
struct HttpCall
{
  HttpRequestData mHttp;
  TimePoint mArrival; // when its last byte was read
  // Cancelled when the caller disconnects; never null.
  CancelFlag mCancelled = Cancellation::Make();
};

struct HttpReply
{
  HttpAnswer mAnswer;
  bool mClose = false; // close the connection after this answer
};

// Runs on a worker, where it may block, or on the I/O thread if there are no
// workers.
using HttpHandler = std::function<HttpReply(HttpCall&)>;

// Why the listener answers a request itself instead of the handler.
enum class ListenerRejection
{
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kRequestTimeout, // headers or body did not arrive within mReadTimeout
  kNoWorker,       // every worker is busy
  kUnsentFull,     // mUnsentBudget is used up
  kNoMemory,       // mBodyBudget has no room for the body
  kAnswerNoMemory, // ran; its answer waits for an earlier one without room
  kHandlerFailed   // the handler threw
};

const char*
ToText(ListenerRejection aRejection);

// The HTTP status of a rejection, such as 413.
int
StatusOf(ListenerRejection aRejection);

// Why a connection was closed before its peer had read an answer.
enum class SlowReader
{
  kStopped, // nothing was read for mUnreadTimeout
  kTooSlow  // less than mMinReadRate
};

const char*
ToText(SlowReader aReader);

struct HttpListenerOptions
{
  std::string mAddress; // "ip:port"
  // Requests that run at once. 0: the I/O thread runs the handler, one request
  // at a time, and the handler must not block. Saves a thread for listeners
  // with little traffic.
  int mWorkers = 16;
  int mConnections = 2048; // open at once; further ones are closed unread
  MessageLimits mLimits;
  // An idle connection is closed after this.
  Millis mIdleClose{ 30'000 };
  // Time from the first to the last byte of a request.
  Millis mReadTimeout{ 10'000 };
  // A connection whose peer reads no byte of an answer for this long is closed.
  Millis mUnreadTimeout{ 10'000 };
  // Answer bytes that wait for the peer at which no further request is read.
  std::size_t mMaxUnsentBytes = 256 << 10;
  // Bytes per second: a connection whose peer reads an answer at less than this
  // over mReadRateWindow is closed. 0: not checked.
  std::size_t mMinReadRate = 0;
  Millis mReadRateWindow{ 30'000 };
  // Answer bytes that wait for the peers of all connections at which new
  // requests are rejected with kUnsentFull, before they run. The last quarter
  // is reserved for connections on which an earlier answer was read. The body
  // of an answer that does not fit, as its request ran already, keeps its own
  // reservation until it is sent; if it is behind another answer of its
  // connection, and others wait for that room, it is replaced by
  // kAnswerNoMemory. Counts send buffers, too, and keeps these small. 0:
  // unlimited.
  std::size_t mUnsentBudget = 0;
  // Counts the bodies of requests, until their last copy is destroyed. While
  // there is no room for one its connection is not read; after mRoomTimeout, or
  // at once if it can never have room, the request is rejected with kNoMemory.
  // Used by this listener alone. Null: unlimited.
  std::shared_ptr<BodyBudget> mBodyBudget;
  Millis mRoomTimeout{ 1000 };
  // Bytes per second: a body that arrives at less than this, for mBodyRateGrace
  // or longer, while others wait for room, is rejected with kRequestTimeout.
  std::size_t mMinBodyRate = 64 << 10;
  Millis mBodyRateGrace{ 2000 };
  // Pipelined requests of one connection that are read ahead. Only safe methods
  // run concurrently.
  int mPipelined = 8;
  // Makes the answer for a rejection; plain text if not set. aRetryAfter is the
  // time until a request is expected to be accepted, if known.
  std::function<HttpReply(ListenerRejection, std::optional<Millis> aRetryAfter)>
    mMakeRejection;
  // Called when a connection is closed because its peer reads too slowly. Must
  // not block.
  std::function<void(SlowReader)> mOnSlowReader;
  // Called with the text of an exception that a handler threw, which is a bug.
  std::function<void(const std::string&)> mOnException;
};

// A listening socket and its threads. Owned by the server that uses it.
class HttpListener
{
public:
  // The error names the address that cannot be bound, and the cause.
  static tl::expected<std::unique_ptr<HttpListener>, std::string> Make(
    HttpListenerOptions aOptions,
    HttpHandler aHandler);

  // Calls StopGracefully.
  ~HttpListener();

  // From now on answers carry "Connection: close".
  void BeginDrain();
  // Applies to requests whose head ends from now on, also on open connections:
  // size limits, and the mReadTimeout and mIdleClose of HttpListenerOptions.
  void SetLimits(const MessageLimits& aLimits,
                 Millis aReadTimeout,
                 Millis aIdleClose);
  // Answer bytes that wait for peers, over all connections.
  std::size_t UnsentBytes() const;
  // Stops accepting, closes idle connections, and returns once every request
  // that was read has been answered.
  void StopGracefully();

private:
  class Loop;

  explicit HttpListener(std::unique_ptr<Loop> aLoop);

  std::unique_ptr<Loop> mLoop;
};

} // namespace porttiller
