// An accepted connection: parses requests for the workers, and writes the
// answers in the order of the requests.
#pragma once

#include "CallQueuePriv.h"
#include "OutQueuePriv.h"
#include "ReadProgressPriv.h"
#include "UnsentBudgetPriv.h"
#include "porttiller/http/HttpListener.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace porttiller {

// Size limits and timeouts of one connection.
struct ConnectionLimits
{
  MessageLimits mMessage;
  Millis mRead{ 0 }; // from a request's first byte to its last
  Millis mIdle{ 0 }; // between two requests
};

// The limits of all connections of a listener. Thread-safe.
class LimitsInForce
{
public:
  explicit LimitsInForce(const ConnectionLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  ConnectionLimits Current() const
  {
    const std::lock_guard lock(mMutex);
    return mLimits;
  }

  void Set(const ConnectionLimits& aLimits)
  {
    const std::lock_guard lock(mMutex);
    mLimits = aLimits;
  }

private:
  mutable std::mutex mMutex;
  ConnectionLimits mLimits;
};

// What the I/O thread has to poll this connection for.
struct ConnectionInterest
{
  bool mRead = false;
  bool mWrite = false;
  bool mClosed = false; // close it
};

// Shared by the I/O thread and the workers. Thread-safe.
class HttpConnection
{
public:
  // The references must outlive the connection.
  HttpConnection(const Poco::Net::StreamSocket& aSocket,
                 const HttpListenerOptions& aOptions,
                 UnsentBudget& aUnsent,
                 const LimitsInForce& aLimits,
                 TimePoint aNow);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  const Poco::Net::StreamSocket& Socket() const { return mSocket; }

  // Reads the available input and returns the requests to run now.
  std::vector<RunnableCall> OnReadable(TimePoint aNow);
  // Continues with input that waited for room in the body budget.
  std::vector<RunnableCall> OnRoom(TimePoint aNow);
  void OnWritable();
  // Enforces the timeouts, and the rate at which answers must be read.
  // aStopping: also closes the connection if it is idle.
  void CheckTimeouts(TimePoint aNow, bool aStopping);

  // Sets the answer of a call and returns the requests that may run now.
  std::vector<RunnableCall> Complete(std::uint64_t aCall,
                                     const HttpReply& aReply,
                                     bool aDraining);

  ConnectionInterest Interest() const;
  // Cancels the running requests and discards their answers.
  void Abandon();

private:
  enum class State
  {
    kOpen,
    kClosing,   // the last answer is being written
    kLingering, // written; waits for the peer to close
    kClosed
  };

  void ReadAll(TimePoint aNow);
  void OnBytes(std::string_view aBytes, TimePoint aNow);
  void Parse(TimePoint aNow);
  bool DelaysOthers(TimePoint aNow) const;
  void Reject(ListenerRejection aRejection);
  void EndAfterRunning();
  void Flush();
  void SendOut();
  void Linger();
  void AbandonLocked();
  std::uint64_t BytesRead() const;
  void SampleSendBuffer();
  void ReportUnsent();

  const HttpListenerOptions& mOptions;
  UnsentBudget& mUnsent;
  const LimitsInForce& mLimits;
  mutable std::mutex mMutex;
  Poco::Net::StreamSocket mSocket;
  MessageReader mReader;
  std::string mIn;               // read and not parsed yet
  OutQueue mOut;                 // to be written
  std::uint64_t mSentInAll = 0;  // bytes since the connection was accepted
  bool mHasRead = false;         // an answer was written completely
  std::size_t mInSendBuffer = 0; // unacknowledged, when last sampled
  std::size_t mReported = 0;     // bytes counted in mUnsent
  CallQueue mCalls;
  State mState = State::kOpen;
  bool mInputEnded = false; // further input is discarded
  TimePoint mLastUse;       // last byte read or written
  bool mWaiting = false;    // the send buffer is full
  ReadProgress mProgress;   // since mWaiting
  TimePoint mRequestStart;  // first byte of the current message
  TimePoint mRoomSince;     // the current message waits for room, or has it
  TimePoint mLingerUntil;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

} // namespace porttiller
