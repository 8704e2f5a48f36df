#include "porttiller/control/Worker.h"

#include <algorithm>

namespace porttiller {

namespace {

// A suspension of the machine delays a job that became due in it by this at
// most.
constexpr std::chrono::seconds kMaxWait{ 1 };

} // namespace

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
  mDelayed.emplace(Now() + aDelay, std::move(aJob));
  mWake.notify_all();
  return true;
}

// Under mMutex.
void
Worker::MoveDueJobs()
{
  const auto now = Now();
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
        mWake.wait_until(
          lock, std::min<TimePoint>(mDelayed.begin()->first, Now() + kMaxWait));
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
