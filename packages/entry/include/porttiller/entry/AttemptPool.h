// Threads for attempts that must not hold up the thread of their request.
#pragma once

#include <Poco/ThreadPool.h>
#include <functional>

namespace porttiller {

// Owned by the node; destroyed before what the attempts use. Thread-safe.
class AttemptPool
{
public:
  AttemptPool();
  // Waits for what still runs.
  ~AttemptPool();
  AttemptPool(const AttemptPool&) = delete;
  AttemptPool& operator=(const AttemptPool&) = delete;

  // False when every thread is busy; aWork is then not run.
  bool Start(const std::function<void()>& aWork);

private:
  Poco::ThreadPool mThreads;
};

} // namespace porttiller
