// One thread that runs jobs in order, and some of them later.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace porttiller {

// Thread-safe. Jobs still waiting when it stops are dropped.
class Worker
{
public:
  explicit Worker(std::size_t aMaxWaiting = 1024);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // False, and the job is dropped, when too many wait or it is stopping.
  bool Post(std::function<void()> aJob);
  // As Post, but not before so much time has passed.
  bool PostAfter(std::chrono::milliseconds aDelay, std::function<void()> aJob);
  void Stop();

private:
  void Run();
  bool HasRoom() const;
  void TakeDelayed();

  const std::size_t mMaxWaiting;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mJobs;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
    mDelayed;
  bool mStopping = false;
  std::thread mThread;
};

// Calls a function at a steady pace until it is destroyed.
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
