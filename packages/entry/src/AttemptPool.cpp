#include "porttiller/entry/AttemptPool.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <memory>

namespace porttiller {

namespace {

constexpr int kMinThreads = 1;
// Enough for the concurrent requests of an entry, each with a hedged attempt.
// Beyond that an attempt runs on its request's thread and is not hedged.
constexpr int kMaxThreads = 1024;
constexpr int kIdleSeconds = 10;

// Deletes itself after it has run: Poco::ThreadPool does not own its tasks.
class Task : public Poco::Runnable
{
public:
  explicit Task(std::function<void()> aWork)
    : mWork(std::move(aWork))
  {
  }

  void run() override
  {
    const std::unique_ptr<Task> self(this);
    mWork();
  }

private:
  std::function<void()> mWork;
};

} // namespace

AttemptPool::AttemptPool()
  : mThreads("attempts", kMinThreads, kMaxThreads, kIdleSeconds)
{
}

AttemptPool::~AttemptPool()
{
  mThreads.joinAll();
}

bool
AttemptPool::Start(const std::function<void()>& aWork)
{
  auto task = std::make_unique<Task>(aWork);
  try {
    mThreads.start(*task);
  } catch (const Poco::NoThreadAvailableException&) {
    return false;
  }
  static_cast<void>(task.release()); // it deletes itself
  return true;
}

} // namespace porttiller
