// Holds the configuration in force. A few watchers in each availability zone
// watch the platform; other boxes learn of changes from peers. Every box keeps
// the last good configuration while the platform is unreachable.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/config/StoreCursor.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/CatchUp.h"
#include "porttiller/policy/WatchSchedule.h"
#include "porttiller/store/ObjectClient.h"
#include "porttiller/telemetry/Metrics.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace porttiller {

// Called with each new snapshot, in order and never concurrently.
using SnapshotListener = std::function<void(const SnapshotPtr&)>;

// What the controller needs from membership.
struct ConfigPeers
{
  std::function<std::vector<BoxName>()> mLiveBoxes;
  std::function<std::vector<BoxSpec>(const GossipFanout&)> mSpreadPeers;
};

// The origin of a delta, for the log.
struct ConfigSource
{
  const char* mKind = ""; // "platform", "seed" or "peer"
  std::string mPeer;      // the control address of a seed or peer
};

// Progress of this node in reading the store.
struct StoreStatus
{
  std::uint64_t mCursor = 0;              // store revision to watch from
  std::optional<Millis> mSinceLastAnswer; // null before the first one
};

// Owned by the node. Thread-safe.
class ConfigController
{
public:
  ConfigController(
    const Settings& aSettings,
    PeerTransport& aTransport,
    Metrics& aMetrics,
    ConfigPeers aPeers,
    UnreadableListener aOnUnreadable = [](const auto&) {});
  ~ConfigController();

  // Call before Start.
  void AddListener(SnapshotListener aListener);
  // Calls the listeners with the current snapshot if peers have already sent
  // one.
  void Start();
  void Stop();

  // Sets the boxes and servers that registered themselves, and builds a new
  // snapshot as for a new configuration.
  void SetDirectory(std::vector<BoxRecord> aRecords);

  // Null before the first snapshot; its revision is 0 while only the directory
  // is known.
  SnapshotPtr Current() const;
  // This node's configuration revision and digest, without the address.
  PeerRevision Own() const;
  bool PlatformReachable() const { return mPlatformReachable; }
  StoreStatus Store() const;
  bool IsWatcher() const { return Place().has_value(); }
  bool IsFirstWatcher() const;

  // A peer reported its revision. Requests a delta if the peer is ahead. Does
  // not block.
  void OnPeerRevision(const PeerRevision& aPeer);
  // Replies with the changes after the peer's revision.
  wire::Envelope OnDeltaRequest(const wire::DeltaRequest& aRequest) const;
  void OnAnnounce(const wire::Envelope& aRequest);

  // Applies a delta that is newer than the held objects and leaves no gap after
  // them.
  tl::expected<void, ApplyError> Apply(const ObjectDelta& aDelta,
                                       const ConfigSource& aSource);

private:
  // This box's place among the watchers of its zone; null if it is none.
  std::optional<WatchPosition> Place() const;
  void Run();
  void WaitForPeers();
  bool HasRecentPeerRevision() const;
  ObjectClientOptions ClientOptions();
  void ReadPlatform();
  void ApplyStoreDelta(const ObjectDelta& aDelta);
  void NotifyListeners(const SnapshotPtr& aSnapshot);
  void QuerySeeds();
  void RequestDelta(const std::string& aAddress);
  void OnDeltaRequestEnded(const std::string& aAddress, bool aAnswered);
  void ApplyPeerDelta(const std::string& aAddress,
                      const wire::Envelope& aAnswer);
  // Requests deltas from peers that are known to be ahead.
  void RequestDeltas();
  void Announce(std::uint64_t aRevision, const GossipFanout& aFanout);
  void SetPlatformReachable(bool aReachable, const std::string& aDetail);
  void LogRejected(const ObjectDelta& aDelta,
                   ApplyError aError,
                   const ConfigSource& aSource);
  void LogInForce(const Snapshot& aSnapshot,
                  std::size_t aChanges,
                  const ConfigSource& aSource) const;
  void Sleep(Millis aTime);

  const Settings& mSettings;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  const ConfigPeers mPeers;
  const UnreadableListener mOnUnreadable;
  std::vector<SnapshotListener> mListeners;
  std::mutex mApplyMutex; // serializes new snapshots and listener calls
  mutable std::mutex mMutex;
  ObjectSet mObjects;                // under mMutex
  SnapshotBuilder mBuilder;          // under mApplyMutex
  std::vector<BoxRecord> mDirectory; // under mMutex
  SnapshotPtr mCurrent;              // under mMutex
  StoreCursor mCursor;               // of mThread
  bool mConnectionLost = false;      // during a watch; of mThread
  bool mListNext = false;            // the last read failed; of mThread
  WatchSchedule mWatchSchedule;      // of mThread
  // The revision of mCursor, for other threads.
  std::atomic<std::uint64_t> mReadRevision{ 0 };
  std::atomic<TimePoint> mLastStoreReplyAt{ TimePoint{} };
  std::atomic<bool> mPlatformReachable{ false };
  std::atomic<TimePoint> mLastPeerRevisionAt{ TimePoint{} };
  CatchUp mCatchUp; // under mMutex
  std::atomic<bool> mStop{ false };
  std::condition_variable mWake;
  ObjectClient mClient; // of mThread
  Worker mWorker;       // applies peers' deltas
  std::thread mThread;
};

} // namespace porttiller
