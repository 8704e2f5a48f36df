// One thread that runs jobs in order, optionally after a delay.
#pragma once

#include "porttiller/core/Time.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace porttiller {

// Thread-safe. Stop drops jobs that have not started.
class Worker
{
public:
  explicit Worker(std::size_t aMaxWaiting = 1024);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Returns false and drops the job if the queue is full or the worker stops.
  bool Post(std::function<void()> aJob);
  // As Post, but runs the job no earlier than after aDelay.
  bool PostAfter(std::chrono::milliseconds aDelay, std::function<void()> aJob);
  void Stop();

private:
  void Run();
  bool HasRoom() const;
  void MoveDueJobs();

  const std::size_t mMaxWaiting;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mJobs;
  std::multimap<TimePoint, std::function<void()>> mDelayed;
  bool mStopping = false;
  std::thread mThread;
};

// Calls a function on a thread of its own until it is destroyed, and waits
// aInterval before each call.
class Ticker
{
public:
  Ticker(std::chrono::milliseconds aInterval, std::function<void()> aTick);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

private:
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace porttiller
