// One backend server of this box: admission of requests, connections, and
// health as shown by its answers.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Resources.h"
#include "porttiller/config/Settings.h"
#include "porttiller/home/CrashEvidence.h"
#include "porttiller/home/RecentSenders.h"
#include "porttiller/home/ServerBreaker.h"
#include "porttiller/home/ServerCall.h"
#include "porttiller/home/ServerStateReport.h"
#include "porttiller/home/ServerStateUpdate.h"
#include "porttiller/home/ServerThrottle.h"
#include "porttiller/hop/CrashMonitor.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/hop/ShutdownDeadline.h"
#include "porttiller/policy/EjectionMachine.h"
#include "porttiller/policy/RetryBudget.h"
#include "porttiller/policy/RouteTimes.h"
#include "porttiller/policy/SlotQueue.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace porttiller {

struct LocalServerOptions
{
  DetectionSetting mDetection = DetectionSetting::kCareful;
  FailingServers mFailingServers = FailingServers::kEject;
  EdgeHeaders mHeaders;
  // Counts the bodies of the server's answers; may be null.
  std::shared_ptr<BodyBudget> mAnswerBudget;

  friend bool operator==(const LocalServerOptions&,
                         const LocalServerOptions&) = default;
};

// Owned by Home, and by requests while they run. Thread-safe: one lock for each
// server.
class LocalServer
{
public:
  // aThrottle belongs to the same start of the server.
  LocalServer(const BackendServerSpec& aSpec,
              LocalServerOptions aOptions,
              ServerThrottlePtr aThrottle,
              const ShutdownDeadline& aShutdownDeadline,
              CrashMonitor& aCrashMonitor);

  const BackendServerSpec& Spec() const { return mSpec; }
  const ServerThrottle& Throttle() const { return *mThrottle; }
  // Looks whether a server whose answers said that it is leaving has ended,
  // where another start would have the same name. To be called every tenth of a
  // second.
  void RecheckLeaving();

  // Waits for a slot, forwards the request and returns the complete answer. The
  // attempt must have been admitted by the registry.
  HomeAnswer Run(const HomeRequest& aRequest);

  // Removes an attempt that waits for a slot from the queue. Returns true when
  // it was waiting, so that it will not run.
  bool CancelWaiting(const AttemptId& aAttempt);

  // Limits the retries that this server accepts: requests that were sent to
  // another server before.
  void SetRetryBudget(const RetryBudgetOptions& aOptions);

  // While set, rejects new requests and those that wait for a slot. Running
  // ones continue.
  void SetLeaving(bool aLeaving);

  // Returns an update for the boxes that send here when one is due; see
  // ServerStateReport.
  std::optional<ServerStateUpdate> TakeStateUpdate(TimePoint aNow);

  // Looks once more whether the server crashed when it last closed a
  // connection: its address may refuse connections only a moment later. To be
  // called every tenth of a second.
  void RecheckCrash();

  // Forwarded to EjectionMachine.
  std::vector<EjectionAction> Tick(TimePoint aNow);
  void OnPeers(const std::vector<PeerHealth>& aPeers, int aOthers);
  void OnPermission(PermissionAnswer aAnswer);
  void OnReleased(bool aDone);
  void OnFloorBroken();
  std::optional<PeerHealth> Health() const;
  ServerPhase Phase() const;
  bool HoldsPermission() const;
  const LocalServerOptions& Options() const { return mOptions; }
  // True once another server answers at this server's address.
  bool Replaced() const;

  // Running and waiting requests.
  int InFlight() const;
  double Load() const;
  std::string Dump() const;

private:
  static constexpr Millis kLeavingRetryAfter{ 1000 };

  enum class WaitState
  {
    kWaiting,
    kStarted,
    kRejected, // displaced, or the server is leaving or hangs
    kExpired
  };

  struct Waiter
  {
    AttemptId mAttempt;
    bool mLastResort = false;
    WaitState mState = WaitState::kWaiting;
    // Waits for a start time within the server's limit, not for a slot.
    bool mPaced = false;
    RejectReason mRejectReason = RejectReason::kNone; // with kRejected
    Millis mRetryAfter{ 0 };
    std::condition_variable mChanged; // of this waiter alone
  };

  // How a waiter's wait ended.
  struct EndedWait
  {
    WaitState mState = WaitState::kWaiting;
    RejectReason mRejectReason = RejectReason::kNone; // with kRejected
    Millis mRetryAfter{ 0 };
  };

  // Each returns null once a slot is held, otherwise the rejection.
  std::optional<HomeAnswer> TakeSlot(const HomeRequest& aRequest);
  std::optional<HomeAnswer> WaitForSlot(std::unique_lock<std::mutex>& aLock,
                                        Ticket aTicket,
                                        const HomeRequest& aRequest);
  std::optional<HomeAnswer> EndWait(Ticket aTicket);
  EndedWait RemoveWaiter(Ticket aTicket);
  void AwaitChange(std::unique_lock<std::mutex>& aLock,
                   Waiter& aWaiter,
                   const HomeRequest& aRequest,
                   TimePoint aUntil);
  bool CancelWaiter(Ticket aTicket, const Waiter& aWaiter);
  // For a server that names a limit; see LocalServerPaced.cpp.
  std::optional<HomeAnswer> TakePacedSlot(std::unique_lock<std::mutex>& aLock,
                                          const HomeRequest& aRequest);
  std::optional<HomeAnswer> WaitForStart(std::unique_lock<std::mutex>& aLock,
                                         Ticket aTicket,
                                         const HomeRequest& aRequest,
                                         TimePoint aStart);
  void OnLimitReport(const HomeRequest& aRequest);
  void OnSignals(const HomeRequest& aRequest,
                 const ServerSignals& aSignals,
                 TimePoint aSent);
  HomeAnswer RejectLimited() const;
  // Returns null if the request that holds a slot may still start.
  std::optional<HomeAnswer> RejectBeforeStart(const HomeRequest& aRequest);
  // Each returns null when the request is admitted, otherwise the rejection.
  std::optional<HomeAnswer> RejectIfEjected(const HomeRequest& aRequest);
  std::optional<HomeAnswer> RejectIfBroken(const HomeRequest& aRequest);
  std::optional<HomeAnswer> RejectIfQuarantined(
    const HomeRequest& aRequest) const;
  void OnServerRejection(HomeAnswer& aAnswer);
  void RecordEvidence(const HomeRequest& aRequest,
                      const HomeAnswer& aAnswer,
                      Micros aTime);
  void FreeSlot(std::optional<Micros> aServiceTime);
  void SetWaitState(Ticket aTicket, WaitState aState);
  void RejectWaiter(Ticket aTicket,
                    RejectReason aRejectReason,
                    Millis aRetryAfter);
  void RejectWaiters(RejectReason aRejectReason, Millis aRetryAfter);
  std::optional<HomeAnswer> RejectIfRetriesSpent(
    const HomeRequest& aRequest) const;
  void OnStarted(const HomeRequest& aRequest);
  bool MayBeInterrupted(const HomeRequest& aRequest) const;
  bool IsLeaving() const;
  bool IsLeavingLocked() const;
  double LoadLocked() const;
  HomeAnswer RejectLocked(RejectReason aRejectReason, Millis aRetryAfter) const;

  const BackendServerSpec mSpec;
  const LocalServerOptions mOptions;
  const ServerThrottlePtr mThrottle;
  const ShutdownDeadline& mShutdownDeadline;
  CrashMonitor& mCrashMonitor;
  ServerCall mCall;
  mutable std::mutex mMutex;
  SlotQueue mQueue;
  EjectionMachine mMachine;
  std::map<Ticket, Waiter> mWaiters;
  RouteTimes mRouteTimes;
  RecentSenders mSenders;
  RetryBudget mRetries;
  ServerStateReport mReport;
  TimePoint mNextLeavingCheck;
  ServerBreaker mBreaker; // receives outcomes only with kBreak
  CrashEvidence mCrashes;
  bool mReplaced = false;
  Ticket mNextTicket = 1;
  bool mLeaving = false;
  TimePoint mServerLeavingUntil; // reported by the server itself
};

using LocalServerPtr = std::shared_ptr<LocalServer>;

} // namespace porttiller
