// One backend server of this box as its home holds it: admission, its
// connections, and what its answers say about it.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Resources.h"
#include "porttiller/config/Settings.h"
#include "porttiller/home/RecentSenders.h"
#include "porttiller/home/ServerBreaker.h"
#include "porttiller/home/ServerCall.h"
#include "porttiller/home/ServerNews.h"
#include "porttiller/hop/Cutoff.h"
#include "porttiller/hop/HomeTypes.h"
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

  friend bool operator==(const LocalServerOptions&,
                         const LocalServerOptions&) = default;
};

// Owned by Home, shared with the requests that are in it. Thread-safe: one
// lock for each server.
class LocalServer
{
public:
  LocalServer(const BackendServerSpec& aSpec,
              LocalServerOptions aOptions,
              const Cutoff& aCutoff);

  const BackendServerSpec& Spec() const { return mSpec; }

  // Waits for a slot, hands the request over, returns its whole answer. The
  // attempt must have been admitted by the registry.
  HomeAnswer Run(const HomeRequest& aRequest);

  // Takes an attempt that still waits for its slot out of the queue; true when
  // it was waiting, and so will not run.
  bool CancelWaiting(const AttemptId& aAttempt);

  // What this server may be sent of requests that another one has got already.
  void SetRetryBudget(const RetryBudgetOptions& aOptions);

  // From now on every new request is refused, and so are those that wait for a
  // slot; running ones go on.
  void SetLeaving(bool aLeaving);

  // What those who send here should know, once for each change of the breaker
  // that lasts.
  std::optional<ServerNews> TakeNews(TimePoint aNow);

  // The ejection machine's events; see EjectionMachine.
  std::vector<EjectionAction> Tick(TimePoint aNow);
  void OnPeers(const std::vector<PeerHealth>& aPeers, int aOthers);
  void OnPermission(PermissionAnswer aAnswer);
  void OnReleased(bool aDone);
  void OnFloorBroken();
  std::optional<PeerHealth> Health() const;
  ServerPhase Phase() const;
  bool HoldsPermission() const;
  const LocalServerOptions& Options() const { return mOptions; }
  // The server is not the one at its address any more.
  bool Replaced() const;

  // Running and waiting requests.
  int InFlight() const;
  double Load() const;
  std::string Dump() const;

private:
  enum class WaitState
  {
    kWaiting,
    kStarted,
    kTurnedAway, // displaced, or the server leaves or hangs
    kExpired
  };

  struct Waiter
  {
    AttemptId mAttempt;
    bool mLastResort = false;
    WaitState mState = WaitState::kWaiting;
    Refusal mRefusal = Refusal::kNone; // with kTurnedAway
    Millis mRetryAfter{ 0 };
    std::condition_variable mChanged; // of this waiter alone
  };

  // Null once a slot is held; otherwise the refusal.
  std::optional<HomeAnswer> TakeSlot(const HomeRequest& aRequest);
  std::optional<HomeAnswer> WaitForSlot(std::unique_lock<std::mutex>& aLock,
                                        Ticket aTicket,
                                        const HomeRequest& aRequest);
  std::optional<HomeAnswer> EndWait(Ticket aTicket);
  std::optional<HomeAnswer> RefuseAside(const HomeRequest& aRequest);
  std::optional<HomeAnswer> RefuseBroken(const HomeRequest& aRequest);
  void NoteRefusal(HomeAnswer& aAnswer);
  void Learn(const HomeRequest& aRequest,
             const HomeAnswer& aAnswer,
             Micros aTime);
  void FreeSlot(std::optional<Micros> aServiceTime);
  void Mark(Ticket aTicket, WaitState aState);
  void TurnAway(Ticket aTicket, Refusal aRefusal, Millis aRetryAfter);
  void TurnWaitersAway(Refusal aRefusal, Millis aRetryAfter);
  std::optional<HomeAnswer> RefuseRepeat(const HomeRequest& aRequest) const;
  void NoteStarted(const HomeRequest& aRequest);
  bool EndsTooSoonFor(const HomeRequest& aRequest) const;
  double LoadLocked() const;
  HomeAnswer RefuseLocked(Refusal aRefusal, Millis aRetryAfter) const;

  const BackendServerSpec mSpec;
  const LocalServerOptions mOptions;
  const Cutoff& mCutoff;
  ServerCall mCall;
  mutable std::mutex mMutex;
  SlotQueue mQueue;
  EjectionMachine mMachine;
  std::map<Ticket, Waiter> mWaiters;
  RouteTimes mRouteTimes;
  RecentSenders mSenders;
  RetryBudget mRetries;
  bool mToldDemoted = false;
  std::optional<TimePoint> mNewsSince; // not yet told
  ServerBreaker mBreaker; // fed only where failing servers are broken off
  bool mReplaced = false;
  Ticket mNextTicket = 1;
  bool mLeaving = false;
  TimePoint mServerLeavingUntil; // said by the server itself
};

using LocalServerPtr = std::shared_ptr<LocalServer>;

} // namespace porttiller
