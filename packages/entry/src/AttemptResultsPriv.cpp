#include "AttemptResultsPriv.h"

namespace porttiller {

void
AttemptResults::Put(EndedAttempt aEnded)
{
  const std::lock_guard lock(mMutex);
  mEnded.push_back(std::move(aEnded));
  mChanged.notify_all();
}

void
AttemptResults::Interrupt()
{
  const std::lock_guard lock(mMutex);
  mInterrupted = true;
  mChanged.notify_all();
}

std::optional<EndedAttempt>
AttemptResults::Await(TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_until(
    lock, aUntil, [this] { return !mEnded.empty() || mInterrupted; });
  if (mEnded.empty()) {
    return std::nullopt;
  }
  auto ended = std::move(mEnded.front());
  mEnded.pop_front();
  return ended;
}

} // namespace porttiller
