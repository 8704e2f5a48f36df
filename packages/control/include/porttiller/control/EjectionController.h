// Drives the ejection state machines of this box's servers: queries other
// homes, takes and releases ejection permissions, and returns servers to use
// when ejections break the floor.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/control/ConfigController.h"
#include "porttiller/control/LedgerStore.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/home/Home.h"
#include "porttiller/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace porttiller {

// Owned by the node.
class EjectionController
{
public:
  EjectionController(const Settings& aSettings,
                     Incarnation aIncarnation,
                     Home& aHome,
                     const ConfigController& aConfig,
                     const MembershipController& aMembership,
                     PeerTransport& aTransport,
                     Metrics& aMetrics);

  void Start();
  void Stop();

  // Reports the health of this home's servers of a service.
  wire::Envelope OnHealthRequest(const wire::HealthRequest& aRequest) const;

private:
  void Tick();
  void Act(const LocalServerPtr& aServer, const EjectionAction& aAction);
  void QueryHomes(const LocalServerPtr& aServer);
  void Request(const LocalServerPtr& aServer);
  void Release(const LocalServerPtr& aServer);
  CapacityView CapacityOf(const ServiceName& aService) const;
  std::vector<BoxSpec> OtherHomes(const BackendServerSpec& aServer) const;
  std::vector<PeerHealth> OwnHealth(const BackendServerSpec& aServer) const;
  // On the thread of mLedgerWorker.
  void TakePermission(const LocalServerPtr& aServer);
  // On the thread of mFloorTicker.
  void RestoreFloor();
  void CleanLedgers();

  const Settings& mSettings;
  const Incarnation mIncarnation;
  Home& mHome;
  const ConfigController& mConfig;
  const MembershipController& mMembership;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  std::mutex mLedgerMutex; // serializes use of mLedger
  LedgerStore mLedger;
  std::map<ServiceName, EjectionLedger> mLastLedger; // under mLedgerMutex
  std::set<ServiceName> mCleanedServices;            // under mLedgerMutex
  std::unique_ptr<Worker> mLedgerWorker;
  std::unique_ptr<Ticker> mTicker;
  std::unique_ptr<Ticker> mFloorTicker;
};

} // namespace porttiller
