// Drives the ejection machines of this box's servers: asks other homes, takes
// and gives back permissions, and returns servers when the floor is broken.
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

  // How this home's servers of a service fare.
  wire::Envelope OnHealthRequest(const wire::HealthRequest& aRequest) const;

private:
  void Tick();
  void Act(const LocalServerPtr& aServer, const EjectionAction& aAction);
  void Ask(const LocalServerPtr& aServer);
  void Request(const LocalServerPtr& aServer);
  void Release(const LocalServerPtr& aServer);
  CapacityView CapacityOf(const ServiceName& aService) const;
  std::vector<BoxSpec> OtherHomes(const BackendServerSpec& aServer) const;
  std::vector<PeerHealth> OwnHealth(const BackendServerSpec& aServer) const;
  // On the ledger thread.
  void RequestNow(const LocalServerPtr& aServer);
  void HealFloor();
  void TidyLedgers();

  const Settings& mSettings;
  const Incarnation mIncarnation;
  Home& mHome;
  const ConfigController& mConfig;
  const MembershipController& mMembership;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  std::mutex mLedgerMutex; // one user of the store at a time
  LedgerStore mLedger;
  std::map<ServiceName, EjectionLedger> mLastLedger; // under mLedgerMutex
  std::set<ServiceName> mTidied;                     // under mLedgerMutex
  std::unique_ptr<Worker> mLedgerWorker;
  std::unique_ptr<Ticker> mTicker;
  std::unique_ptr<Ticker> mFloorTicker;
};

} // namespace porttiller
