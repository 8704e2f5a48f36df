// The components of one daemon and their connections. Owned by Node.
#pragma once

#include "porttiller/node/Node.h"

#include "porttiller/control/ConfigController.h"
#include "porttiller/control/CrashController.h"
#include "porttiller/control/DirectoryController.h"
#include "porttiller/control/EjectionController.h"
#include "porttiller/control/LimitController.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/ServerUpdateController.h"
#include "porttiller/control/StatusController.h"
#include "porttiller/control/UnreadableObjects.h"
#include "porttiller/entry/AttemptPool.h"
#include "porttiller/entry/Dispatcher.h"
#include "porttiller/entry/EntryServer.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/home/Home.h"
#include "porttiller/home/HomeServer.h"
#include "porttiller/hop/BodyBudgets.h"
#include "porttiller/hop/ShutdownDeadline.h"
#include "porttiller/node/AdminServer.h"
#include "porttiller/node/ReadinessServer.h"
#include "porttiller/node/RegistrationServer.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/telemetry/Metrics.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace porttiller {

class Node::Parts
{
public:
  explicit Parts(Settings aSettings);

  ~Parts();

  tl::expected<void, std::string> Open();
  void Drain();
  void AnnounceHomeLeaving();
  std::map<std::string, const BodyBudget*> BodyBudgetsByKind() const;
  std::string StateText() const;

private:
  int ServersInUse() const;
  tl::expected<void, std::string> OpenTransport();
  tl::expected<void, std::string> OpenServers();
  void MakeControllers();
  void StartControllers();
  void StopControllers();
  void HandlePeer(const wire::Envelope& aRequest, const PeerReplier& aReply);
  std::optional<wire::Envelope> ReplyTo(const wire::Envelope& aRequest);
  wire::Envelope ReplyToAttemptQuery(const wire::AttemptRequest& aRequest);
  void RefreshGauges();
  tl::expected<void, std::string> OpenPlatformServers();
  DirectoryHooks MakeDirectoryHooks();
  void OnSnapshot(const Snapshot& aSnapshot);
  void CheckBodyLimit(std::int64_t aMaxBodyBytes);
  bool IsReady() const;
  PeerRevision OwnRevision() const;
  void OnPeerRevision(const PeerRevision& aPeer);

  const Settings mSettings;
  const Incarnation mIncarnation;
  Metrics mMetrics;
  UnreadableObjects mUnreadable{ mMetrics };
  ShutdownDeadline mShutdownDeadline;
  CrashMonitor mCrashMonitor;
  const BodyBudgets mBodyBudgets;
  std::atomic<std::int64_t> mReportedBodyLimit{ 0 }; // of the last warning
  Home mHome;
  EntryView mView;
  AttemptIdGenerator mAttemptIdGenerator;
  WorkspaceGate mGate;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mControllersReady{ false }; // the controllers below exist
  std::unique_ptr<ConfigController> mConfig;
  std::unique_ptr<MembershipController> mMembership;
  // Only with FailingServers::kEject.
  std::unique_ptr<EjectionController> mEjection;
  std::unique_ptr<StatusController> mStatus; // only with Dialect::kNative
  std::unique_ptr<LimitController> mLimits;
  std::unique_ptr<CrashController> mCrashes;
  std::unique_ptr<ServerUpdateController> mServerUpdates;
  std::unique_ptr<Dispatcher> mDispatcher;
  AttemptPool mAttemptPool;
  std::unique_ptr<HomeServer> mHomeServer;
  std::unique_ptr<EntryServer> mEntryServer;
  // Null if operators list all boxes and servers in the configuration.
  std::unique_ptr<DirectoryController> mDirectory;
  std::unique_ptr<RegistrationServer> mRegistration;
  std::unique_ptr<ReadinessServer> mReadiness;
  std::unique_ptr<AdminServer> mAdminServer;
  std::unique_ptr<PeerTransport> mTransport;
};

} // namespace porttiller
