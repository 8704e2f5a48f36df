#include "porttiller/node/ConfigController.h"

#include "porttiller/node/Log.h"
#include "porttiller/node/Random.h"

namespace porttiller {

namespace {

constexpr Millis kWatchWait{ 10'000 };
constexpr Millis kRetryWait{ 500 };

} // namespace

ConfigController::ConfigController(const Settings& aSettings, Metrics& aMetrics)
  : mSettings(aSettings)
  , mMetrics(aMetrics)
{
}

ConfigController::~ConfigController()
{
  Stop();
}

void
ConfigController::AddListener(SnapshotListener aListener)
{
  mListeners.push_back(std::move(aListener));
}

void
ConfigController::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ConfigController::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStop = true;
    mWake.notify_all();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

SnapshotPtr
ConfigController::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

ObjectDelta
ConfigController::Since(std::uint64_t aRevision) const
{
  const std::lock_guard lock(mMutex);
  return mObjects.Since(aRevision);
}

bool
ConfigController::Apply(const ObjectDelta& aDelta, const char* aSource)
{
  const std::lock_guard applyLock(mApplyMutex);
  SnapshotPtr snapshot;
  std::size_t changes = 0;
  {
    const std::lock_guard lock(mMutex);
    const auto changed = mObjects.Apply(aDelta);
    if (!changed) {
      return false;
    }
    changes = changed->size();
    snapshot = mBuilder.Build(mObjects, *changed);
    mCurrent = snapshot;
  }
  for (const auto& listener : mListeners) {
    listener(snapshot);
  }
  mMetrics.ConfigRevision().Set(static_cast<double>(snapshot->mRevision));
  if (changes > 0) {
    LogLine(LogLevel::kInfo, "configuration_in_force")
      .With("revision", static_cast<std::int64_t>(snapshot->mRevision))
      .With("source", aSource)
      .With("changes", static_cast<std::int64_t>(changes))
      .With("rejected",
            static_cast<std::int64_t>(snapshot->mRejections.size()));
  }
  return true;
}

void
ConfigController::NotePlatform(bool aReachable, const std::string& aDetail)
{
  if (mPlatformReachable.exchange(aReachable) != aReachable) {
    LogLine(aReachable ? LogLevel::kInfo : LogLevel::kWarning,
            aReachable ? "platform_reachable" : "platform_away")
      .With("address", mSettings.mPlatformAddress)
      .With("detail", aDetail);
  }
}

void
ConfigController::Run()
{
  ObjectClient client({ .mAddress = mSettings.mPlatformAddress });
  LogLine(LogLevel::kInfo, "following_platform")
    .With("address", mSettings.mPlatformAddress);
  while (!mStop) {
    FollowOnce(client);
  }
}

void
ConfigController::FollowOnce(ObjectClient& aClient)
{
  const auto snapshot = Current();
  const auto from = snapshot ? snapshot->mRevision : 0;
  mMetrics.PlatformCalls().Increment();
  const bool list = from == 0;
  const auto delta =
    list ? aClient.List("") : aClient.Watch("", from, kWatchWait);
  NotePlatform(delta.has_value(), delta ? "" : delta.error().mDetail);
  if (delta) {
    Apply(*delta, "platform");
  }
  if (!delta || (list && delta->mTo == 0)) {
    // Jitter keeps a fleet from asking in step after an outage.
    const Millis wait(kRetryWait.count() +
                      static_cast<std::int64_t>(Random() % kRetryWait.count()));
    std::unique_lock lock(mMutex);
    mWake.wait_for(lock, wait, [this] { return mStop.load(); });
  }
}

} // namespace porttiller
