#include "porttiller/entry/AttemptPool.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <memory>

namespace porttiller {

namespace {

constexpr int kMinThreads = 1;
// As many requests as an entry serves at once, each with a rival; an attempt
// beyond that runs on its request's thread, without a race.
constexpr int kMaxThreads = 1024;
constexpr int kIdleSeconds = 10;

// Deletes itself: the pool does not own what it runs.
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
