// The threads of a listener.
#pragma once

#include "HttpConnectionPriv.h"
#include "SocketsPriv.h"
#include "UnsentBudgetPriv.h"
#include "porttiller/http/HttpListener.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace porttiller {

// The I/O thread and the workers. Owned by the listener.
class HttpListener::Loop
{
public:
  Loop(HttpListenerOptions aOptions, HttpHandler aHandler);

  void Open();
  void Stop();
  void Drain() { mDraining = true; }
  std::size_t UnsentBytes() const { return mUnsent.Held(); }
  void SetLimits(const ConnectionLimits& aLimits) { mLimits.Set(aLimits); }

private:
  class Job;

  void Run();
  void Accept();
  void OnEvents(const Poco::Net::Socket& aSocket, int aModes);
  void Sweep();
  // Connections whose bodies wait for room.
  void ResumeWaiting();
  void Rearm(const HttpConnectionPtr& aConnection);
  void Remove(const HttpConnectionPtr& aConnection);
  void Dispatch(const HttpConnectionPtr& aConnection,
                std::vector<RunnableCall> aCalls);
  void Serve(const HttpConnectionPtr& aConnection, RunnableCall& aCall);
  void Complete(const HttpConnectionPtr& aConnection,
                std::uint64_t aCall,
                const HttpReply& aReply);
  HttpReply RunHandler(HttpCall& aCall);
  bool IsDrained() const;

  const HttpListenerOptions mOptions;
  const HttpHandler mHandler;
  LimitsInForce mLimits;
  UnsentBudget mUnsent;
  // Null if the I/O thread runs the handler.
  std::unique_ptr<Poco::ThreadPool> mWorkers;
  Poco::Net::ServerSocket mSocket;
  Poco::Net::PollSet mPoll;
  WakeUp mWake;
  // Used by the I/O thread only.
  std::map<Poco::Net::Socket, HttpConnectionPtr> mConnections;
  std::map<Poco::Net::Socket, int> mModes;
  std::mutex mToRearmMutex;
  std::vector<HttpConnectionPtr> mToRearm; // queued by workers
  std::atomic<int> mOpenCalls{ 0 };
  std::atomic<bool> mRoom{ false }; // mBodyBudget may have room
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace porttiller
