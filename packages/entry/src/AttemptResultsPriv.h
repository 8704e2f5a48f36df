// Results of the attempts of one request.
#pragma once

#include "porttiller/entry/Dispatcher.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace porttiller {

struct EndedAttempt
{
  AttemptId mId;
  AttemptResult mResult;
};

// Queue of results from attempts that run on other threads. Shared by the
// request and its attempts, as an attempt may outlive its request.
class AttemptResults
{
public:
  void Put(EndedAttempt aEnded);
  // Ends the current wait and all later ones.
  void Interrupt();
  // Null when no result arrives by aUntil or the wait is interrupted.
  std::optional<EndedAttempt> Await(TimePoint aUntil);

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<EndedAttempt> mEnded;
  bool mInterrupted = false;
};

} // namespace porttiller
