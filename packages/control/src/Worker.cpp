#include "porttiller/control/Worker.h"

namespace porttiller {

Worker::Worker(std::size_t aMaxWaiting)
  : mMaxWaiting(aMaxWaiting)
{
  mThread = std::thread([this] { Run(); });
}

Worker::~Worker()
{
  Stop();
}

void
Worker::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mJobs.clear();
    mDelayed.clear();
    mWake.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
Worker::HasRoom() const
{
  return !mStopping && mJobs.size() + mDelayed.size() < mMaxWaiting;
}

bool
Worker::Post(std::function<void()> aJob)
{
  const std::lock_guard lock(mMutex);
  if (!HasRoom()) {
    return false;
  }
  mJobs.push_back(std::move(aJob));
  mWake.notify_all();
  return true;
}

bool
Worker::PostAfter(std::chrono::milliseconds aDelay, std::function<void()> aJob)
{
  const std::lock_guard lock(mMutex);
  if (!HasRoom()) {
    return false;
  }
  mDelayed.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aJob));
  mWake.notify_all();
  return true;
}

// Under mMutex.
void
Worker::MoveDueJobs()
{
  const auto now = std::chrono::steady_clock::now();
  while (!mDelayed.empty() && mDelayed.begin()->first <= now) {
    mJobs.push_back(std::move(mDelayed.begin()->second));
    mDelayed.erase(mDelayed.begin());
  }
}

void
Worker::Run()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    MoveDueJobs();
    if (mStopping) {
      return;
    }
    if (mJobs.empty()) {
      if (mDelayed.empty()) {
        mWake.wait(lock);
      } else {
        mWake.wait_until(lock, mDelayed.begin()->first);
      }
      continue;
    }
    const auto job = std::move(mJobs.front());
    mJobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

Ticker::Ticker(std::chrono::milliseconds aInterval, std::function<void()> aTick)
{
  mThread = std::thread([this, aInterval, tick = std::move(aTick)] {
    std::unique_lock lock(mMutex);
    while (!mWake.wait_for(lock, aInterval, [this] { return mStopping; })) {
      lock.unlock();
      tick();
      lock.lock();
    }
  });
}

Ticker::~Ticker()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mWake.notify_all();
  }
  mThread.join();
}

} // namespace porttiller
