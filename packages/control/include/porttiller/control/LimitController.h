// Keeps the limits of workspaces over all boxes together: tells a collector of
// the zone what this box's entry has let through, and collects where this box
// is asked to. Which boxes collect follows from the rendezvous hash over the
// live ones, without an election; any box that gets a report collects.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/Worker.h"
#include "porttiller/entry/WorkspaceGate.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/UsageCollector.h"
#include "porttiller/telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace porttiller {

LimitBounds
LimitBoundsOf(const Settings& aSettings);

// Owned by the node. Thread-safe. Costs nothing while no workspace has a limit.
class LimitController
{
public:
  LimitController(const Settings& aSettings,
                  PeerTransport& aTransport,
                  WorkspaceGate& aGate,
                  Metrics& aMetrics,
                  std::function<std::vector<BoxName>()> aLiveBoxes);

  void Stop();
  void Apply(const SnapshotPtr& aSnapshot);

  // From an entry or a collector. The reply is for those who ask for one.
  wire::Envelope OnReport(const wire::Envelope& aMessage);
  // From the collector, without having been asked.
  void OnGrants(const wire::WorkspaceGrants& aMessage);

  std::string Dump() const;

private:
  // Boxes that collect, the first one of each zone first.
  struct Collectors
  {
    std::vector<BoxSpec> mOwnZone;
    std::vector<BoxSpec> mOthers; // all but this box, of all zones
  };

  void Tick();
  void FindCollectors();
  void Report();
  void SendReport(const BoxSpec& aCollector, const UseReport& aReport);
  void Collect();
  void Exchange(const WorkspaceUses& aUses);
  void TellGrants(const WorkspaceGrants& aGrants, bool aWarming);
  void LogChanges(const WorkspaceGrants& aGrants);
  std::optional<RequestLimit> LimitOf(const WorkspaceName& aWorkspace) const;

  const Settings& mSettings;
  PeerTransport& mTransport;
  WorkspaceGate& mGate;
  Metrics& mMetrics;
  const std::function<std::vector<BoxName>()> mLiveBoxes;
  mutable std::mutex mMutex;
  UsageCollector mCollector;               // under mMutex
  WorkspaceGrants mGrants;                 // the last ones; under mMutex
  std::map<BoxName, TimePoint> mReporters; // heard from; under mMutex
  SnapshotPtr mSnapshot;                   // under mMutex
  Collectors mCollectors;                  // of the ticker's thread
  WorkspaceGrants mTold;                   // of the ticker's thread
  TimePoint mNextFind;                     // of the ticker's thread
  TimePoint mNextTell;                     // of the ticker's thread
  bool mReportsNow = false;                // of the ticker's thread
  std::unique_ptr<Ticker> mTicker;         // null until a limit is known
};

} // namespace porttiller
