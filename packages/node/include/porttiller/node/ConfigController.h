// Holds the configuration in force, follows the platform, and keeps the last
// good one while the platform is away.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/node/Metrics.h"
#include "porttiller/platform/ObjectClient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace porttiller {

// Called after each switch, in order, never two at a time.
using SnapshotListener = std::function<void(SnapshotPtr)>;

// Owned by the node. Thread-safe.
class ConfigController
{
public:
  ConfigController(const Settings& aSettings, Metrics& aMetrics);
  ~ConfigController();

  // Before Start.
  void AddListener(SnapshotListener aListener);
  void Start();
  void Stop();

  // Null until the first configuration is known.
  SnapshotPtr Current() const;

  // Takes over a delta if it is newer; true when the set moved forward.
  bool Apply(const ObjectDelta& aDelta, const char* aSource);
  // What a node at this revision lacks.
  ObjectDelta Since(std::uint64_t aRevision) const;
  bool PlatformReachable() const { return mPlatformReachable; }

private:
  void Run();
  void FollowOnce(ObjectClient& aClient);
  void NotePlatform(bool aReachable, const std::string& aDetail);

  const Settings& mSettings;
  Metrics& mMetrics;
  std::vector<SnapshotListener> mListeners;
  std::mutex mApplyMutex; // one switch at a time, listeners included
  mutable std::mutex mMutex;
  ObjectSet mObjects;       // under mMutex
  SnapshotBuilder mBuilder; // under mApplyMutex
  SnapshotPtr mCurrent;     // under mMutex
  std::atomic<bool> mPlatformReachable{ false };
  std::atomic<bool> mStop{ false };
  std::condition_variable mWake;
  std::thread mThread;
};

} // namespace porttiller
