// Enforces the rate limits of workspaces across all boxes: reports the use that
// this box's entry has admitted to a collector of the zone, and acts as a
// collector itself when it receives reports. Entries choose collectors by
// rendezvous hashing over the live boxes, without an election; any box that
// receives a report collects.
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

  // From an entry or a collector. The reply is sent only if the message
  // requests one.
  wire::Envelope OnReport(const wire::Envelope& aMessage);
  // Unsolicited grants from a collector.
  void OnGrants(const wire::WorkspaceGrants& aMessage);

  std::string Dump() const;

private:
  // Collectors, in rendezvous order within each zone.
  struct Collectors
  {
    std::vector<BoxSpec> mOwnZone;
    std::vector<BoxSpec> mOthers; // of all zones, without this box
  };

  void Tick();
  void FindCollectors();
  void Report();
  void SendReport(const BoxSpec& aCollector, const UseReport& aReport);
  void Collect();
  void Exchange(const WorkspaceUses& aUses);
  void SendGrants(const WorkspaceGrants& aGrants, bool aWarming);
  void LogChanges(const WorkspaceGrants& aGrants);
  std::optional<RequestLimit> LimitOf(const WorkspaceName& aWorkspace) const;

  const Settings& mSettings;
  PeerTransport& mTransport;
  WorkspaceGate& mGate;
  Metrics& mMetrics;
  const std::function<std::vector<BoxName>()> mLiveBoxes;
  mutable std::mutex mMutex;
  UsageCollector mCollector;               // under mMutex
  WorkspaceGrants mGrants;                 // the latest; under mMutex
  std::map<BoxName, TimePoint> mReporters; // last report; under mMutex
  SnapshotPtr mSnapshot;                   // under mMutex
  Collectors mCollectors;                  // of the ticker's thread
  WorkspaceGrants mSentGrants;             // of the ticker's thread
  TimePoint mNextFindCollectors;           // of the ticker's thread
  TimePoint mNextGrantSend;                // of the ticker's thread
  bool mReportThisTick = false;            // of the ticker's thread
  std::unique_ptr<Ticker> mTicker;         // null until a limit is known
};

} // namespace porttiller
