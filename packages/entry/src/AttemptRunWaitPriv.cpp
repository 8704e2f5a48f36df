// The waits of long requests that no home accepted.
#include "AttemptRunPriv.h"

#include <condition_variable>
#include <mutex>

namespace porttiller {

namespace {

// Returns when aUntil has passed or one of the two is cancelled.
void
WaitUnlessCancelled(TimePoint aUntil,
                    const CancelFlag& aFirst,
                    const CancelFlag& aSecond)
{
  std::mutex mutex;
  std::condition_variable changed;
  const auto notify = [&] {
    const std::lock_guard lock(mutex);
    changed.notify_all();
  };
  // Destroyed before the mutex, which the listeners use, and after the lock.
  const auto first = OnCancel(aFirst, notify);
  const auto second = OnCancel(aSecond, notify);
  std::unique_lock lock(mutex);
  changed.wait_until(lock, aUntil, [&] {
    return aFirst->IsCancelled() || aSecond->IsCancelled();
  });
}

} // namespace

// Only requests that must not run twice wait: a repeatable one may use the last
// resort, as it can still run elsewhere after a failure. Without a server there
// is nothing to wait for.
std::optional<EntryWait>
AttemptRun::MakeWait() const
{
  if (!mLongTarget || mContext.mRepeatable ||
      mContext.mService->mServers.empty()) {
    return std::nullopt;
  }
  return EntryWait(mContext.mArrival, *mLongTarget, mContext.mDeadline);
}

// Waits before the homes are asked again. Once the request has waited long
// enough, and in a planned stop, the last resort follows at once. Returns false
// when the request must end.
bool
AttemptRun::StartNextRound()
{
  if (mStopped || !mPlan.MayRepeatRound()) {
    return false;
  }
  const auto& shutdown = mDependencies.mShutdownDeadline;
  const auto start = Now();
  // A request that a server has rejected needs a retry. While retries are spent
  // as soon as they accrue, its waiting would only cost further attempts.
  const bool mayWait = !shutdown.IsSet() && !mPlan.MayHaveReachedServer();
  const auto until = mayWait ? mWait->Next(start) : std::nullopt;
  if (!until) {
    mPlan.EndRounds();
    return true;
  }
  if (mWaited == Micros(0)) {
    mDependencies.mMetrics.EntryWaits().Increment();
  }
  WaitUnlessCancelled(*until, mContext.mCancelled, shutdown.Begun());
  mWaited += Now() - start;
  mContext.mHomeTime += Now() - start;
  mPlan.StartRound();
  return true;
}

} // namespace porttiller
