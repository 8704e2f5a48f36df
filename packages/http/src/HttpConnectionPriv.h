// One accepted connection: bytes in, whole requests out to the workers, answers
// back in the order of the requests.
#pragma once

#include "porttiller/http/HttpListener.h"

#include <Poco/Net/StreamSocket.h>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace porttiller {

// A request on its way to its answer. Guarded by its connection's lock, but
// for mCall, which is its worker's once it is dispatched.
struct PendingCall
{
  HttpCall mCall;
  bool mDispatched = false;
  bool mDone = false;
  bool mClose = false; // the connection ends with its answer
  HttpAnswer mAnswer;  // once done
};

// What one connection may do.
struct ConnectionLimits
{
  MessageLimits mMessage;
  Millis mRead{ 0 }; // from a request's first byte to its last
  Millis mIdle{ 0 }; // between two requests
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

// What the reading thread has to wait for next.
struct ConnectionWants
{
  bool mRead = false;
  bool mWrite = false;
  bool mOver = false; // close it
};

// Shared by the reading thread and the workers that answer on it.
class HttpConnection
{
public:
  HttpConnection(const Poco::Net::StreamSocket& aSocket,
                 const HttpListenerOptions& aOptions,
                 ConnectionLimits aLimits,
                 TimePoint aNow);

  const Poco::Net::StreamSocket& Socket() const { return mSocket; }

  // Reads what is there and returns the requests to run now.
  std::vector<PendingCallPtr> OnReadable(TimePoint aNow);
  void OnWritable();
  // Ends what has taken too long, and what rests when aStopping.
  void OnTime(TimePoint aNow, bool aStopping);

  // The answer of one call; returns the requests that may run after it.
  std::vector<PendingCallPtr> Complete(const PendingCallPtr& aCall,
                                       const HttpReply& aReply,
                                       bool aDraining);

  ConnectionWants Wants() const;
  // Cancels what runs; its answers go nowhere.
  void Abandon();

private:
  enum class State
  {
    kOpen,
    kClosing,   // the last answer is being written
    kLingering, // written; waits for the other side to close
    kOver
  };

  void ReadAll(TimePoint aNow);
  void Take(std::string_view aBytes, TimePoint aNow);
  void Parse(TimePoint aNow);
  void Refuse(ListenerRefusal aRefusal);
  std::vector<PendingCallPtr> TakeRunnable();
  void EndAfterRunning();
  void Flush();
  void SendOut();
  void Linger();
  void AbandonLocked();

  const HttpListenerOptions& mOptions;
  const ConnectionLimits mLimits;
  mutable std::mutex mMutex;
  Poco::Net::StreamSocket mSocket;
  MessageReader mReader;
  std::string mIn;                   // read and not parsed yet
  std::string mOut;                  // to be written
  std::deque<PendingCallPtr> mCalls; // in the order of their answers
  State mState = State::kOpen;
  bool mReadOver = false; // nothing more is parsed
  TimePoint mLastUse;
  TimePoint mBegan; // the message at hand
  TimePoint mLingerUntil;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

} // namespace porttiller
