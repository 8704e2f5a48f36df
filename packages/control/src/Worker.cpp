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
    mWake.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
Worker::Post(std::function<void()> aJob)
{
  const std::lock_guard lock(mMutex);
  if (mStopping || mJobs.size() >= mMaxWaiting) {
    return false;
  }
  mJobs.push_back(std::move(aJob));
  mWake.notify_all();
  return true;
}

void
Worker::Run()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mWake.wait(lock, [this] { return mStopping || !mJobs.empty(); });
    if (mStopping) {
      return;
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
