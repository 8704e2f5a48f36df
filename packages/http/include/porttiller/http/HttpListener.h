// The server side of HTTP/1.1: one thread reads every connection and workers
// run the handler, so that an idle connection costs no thread, requests of one
// connection may run side by side, and a caller that hangs up is noticed while
// its request runs.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/Cancellation.h"
#include "porttiller/http/HttpTypes.h"
#include "porttiller/http/MessageReader.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// One request as its handler gets it.
struct HttpCall
{
  HttpRequestData mHttp;
  TimePoint mArrival;    // when its last byte was read
  CancelFlag mCancelled; // by the caller, which has gone
};

struct HttpReply
{
  HttpAnswer mAnswer;
  bool mClose = false; // end the connection after it
};

// Runs on a worker; may block where there are workers.
using HttpHandler = std::function<HttpReply(HttpCall&)>;

// Why the listener itself ends a request, which has not reached the handler.
enum class ListenerRefusal
{
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kSlowHead,     // its head or body did not arrive in time
  kNoWorker,     // every worker is busy
  kHandlerFailed // the handler threw
};

const char*
ToText(ListenerRefusal aRefusal);

// The status that goes with a refusal, such as 413.
int
StatusOf(ListenerRefusal aRefusal);

struct HttpListenerOptions
{
  std::string mAddress; // "ip:port"
  // Requests served at once. 0: the reading thread serves them one by one, and
  // its handler must not block; a thread less for what is asked now and then.
  int mWorkers = 16;
  int mConnections = 2048; // open at once; more are closed unread
  MessageLimits mLimits;
  Millis mIdleClose{ 30'000 };
  // A request that has begun must be whole within this.
  Millis mReadTimeout{ 10'000 };
  // Requests of one connection that may run side by side; only safe ones do.
  int mPipelined = 8;
  // Makes the answer to what the listener refuses; plain text when empty.
  std::function<HttpReply(ListenerRefusal)> mRefuse;
  // Told what a handler threw, which is a fault of this program.
  std::function<void(const std::string&)> mOnException;
};

// A listening address and its threads. Owned by the server that it serves.
class HttpListener
{
public:
  // The error says which address cannot be had, and why.
  static tl::expected<std::unique_ptr<HttpListener>, std::string> Make(
    HttpListenerOptions aOptions,
    HttpHandler aHandler);

  // As StopGracefully.
  ~HttpListener();

  // Further answers ask callers to end their connections.
  void BeginDrain();
  // For connections that come from now on: what they may send, how long a
  // request may take to arrive, and how long they may rest.
  void SetLimits(const MessageLimits& aLimits,
                 Millis aReadTimeout,
                 Millis aIdleClose);
  // Takes no new connection, ends the resting ones, and returns once every
  // request that was read has its answer.
  void StopGracefully();

private:
  class Loop;

  explicit HttpListener(std::unique_ptr<Loop> aLoop);

  std::unique_ptr<Loop> mLoop;
};

} // namespace porttiller
