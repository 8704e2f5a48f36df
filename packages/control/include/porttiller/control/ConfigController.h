// Holds the configuration in force. A few watchers in each availability zone
// follow the platform; everyone else learns of changes from peers, and keeps
// the last good configuration while the platform is away.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/config/StoreCursor.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/CatchUp.h"
#include "porttiller/policy/WatchTurns.h"
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

// Called after each switch, in order, never two at a time.
using SnapshotListener = std::function<void(const SnapshotPtr&)>;

// What the controller asks of membership.
struct ConfigPeers
{
  std::function<std::vector<BoxName>()> mLiveBoxes;
  std::function<std::vector<BoxSpec>(const SpreadOptions&)> mSpreadPeers;
};

// Where a delta came from, for the log.
struct ConfigSource
{
  const char* mKind = ""; // "platform", "seed" or "peer"
  std::string mPeer;      // the control address of a seed or peer
};

// What this node knows of the store.
struct StoreKnowledge
{
  std::uint64_t mCursor = 0;              // where the next watch goes on
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

  // Before Start.
  void AddListener(SnapshotListener aListener);
  // Listeners hear of what peers have told before now.
  void Start();
  void Stop();

  // The boxes and servers that told about themselves; switches as a new
  // configuration does.
  void SetDirectory(std::vector<BoxRecord> aRecords);

  // Null until anything is known; its revision is 0 until that is a
  // configuration.
  SnapshotPtr Current() const;
  // This node's revision and digest; the address is left empty.
  PeerRevision Own() const;
  bool PlatformReachable() const { return mPlatformReachable; }
  StoreKnowledge Store() const;
  bool IsWatcher() const { return Place().has_value(); }
  bool IsFirstWatcher() const;

  // A peer holds this revision: one that is ahead is asked for what lacks
  // here. Does not block.
  void OnPeerRevision(const PeerRevision& aPeer);
  // What a peer at this revision lacks.
  wire::Envelope OnDeltaRequest(const wire::DeltaRequest& aRequest) const;
  void OnAnnounce(const wire::Envelope& aRequest);

  // Takes over a delta if it is newer and joins what is held.
  tl::expected<void, ApplyError> Apply(const ObjectDelta& aDelta,
                                       const ConfigSource& aSource);

private:
  // Among the watchers of the zone; null for all other boxes.
  std::optional<WatchPlace> Place() const;
  void Run();
  void MeetOthers();
  bool HeardPeers() const;
  void FollowPlatform();
  void TakeFromStore(const ObjectDelta& aDelta);
  void Switch(const SnapshotPtr& aSnapshot);
  void AskSeeds();
  void Pull(const std::string& aAddress);
  void EndPull(const std::string& aAddress, bool aAnswered);
  void TakeFromPeer(const std::string& aAddress, const wire::Envelope& aAnswer);
  // Asks the peers that are known to be ahead.
  void AskPeers();
  void Announce(std::uint64_t aRevision, const SpreadOptions& aSpread);
  void NotePlatform(bool aReachable, const std::string& aDetail);
  void LogRefused(const ObjectDelta& aDelta,
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
  std::mutex mApplyMutex; // one switch at a time, listeners included
  mutable std::mutex mMutex;
  ObjectSet mObjects;                    // under mMutex
  SnapshotBuilder mBuilder;              // under mApplyMutex
  std::vector<BoxRecord> mDirectory;     // under mMutex
  SnapshotPtr mCurrent;                  // under mMutex
  StoreCursor mCursor;                   // of mThread
  WatchTurns mTurns;                     // of mThread
  std::atomic<std::uint64_t> mRead{ 0 }; // its place, for other threads
  std::atomic<TimePoint> mStoreAnswered{ TimePoint{} };
  std::atomic<bool> mPlatformReachable{ false };
  std::atomic<TimePoint> mHeardPeer{ TimePoint{} }; // of a revision
  CatchUp mCatchUp;                                 // under mMutex
  std::atomic<bool> mStop{ false };
  std::condition_variable mWake;
  ObjectClient mClient; // of mThread
  Worker mWorker;       // applies what peers send
  std::thread mThread;
};

} // namespace porttiller
