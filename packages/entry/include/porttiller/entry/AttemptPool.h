// Thread pool for attempts that must not block the thread of their request.
#pragma once

#include <Poco/ThreadPool.h>
#include <functional>

namespace porttiller {

// Owned by the node, which destroys it before the objects that attempts use.
// Thread-safe.
class AttemptPool
{
public:
  AttemptPool();
  // Waits for the attempts that still run.
  ~AttemptPool();
  AttemptPool(const AttemptPool&) = delete;
  AttemptPool& operator=(const AttemptPool&) = delete;

  // Returns false, without running aWork, when every thread is busy.
  bool Start(const std::function<void()>& aWork);

private:
  Poco::ThreadPool mThreads;
};

} // namespace porttiller
