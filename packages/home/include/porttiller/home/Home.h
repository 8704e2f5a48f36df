// The home role: forwards every request to the backend servers of this box.
#pragma once

#include "porttiller/config/Snapshot.h"
#include "porttiller/home/LocalServer.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/AttemptRegistry.h"
#include "porttiller/policy/RetryShare.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// Hedges that arrived since the start of the box.
struct HedgeCounts
{
  std::uint64_t mAdmitted = 0; // sent to a server
  std::uint64_t mRejected = 0; // rejected for lack of retries
};

// Thread-safe. The attempt records are sharded by entry box, each shard under a
// lock of its own; so is each server.
class Home
{
public:
  Home(BoxName aBox,
       Incarnation aIncarnation,
       LocalServerOptions aServerOptions,
       RetrySettings aRetries,
       const ShutdownDeadline& aShutdownDeadline,
       CrashMonitor& aCrashMonitor);

  Incarnation OwnIncarnation() const { return mIncarnation; }

  // Runs an attempt at most once. Returns when it has ended or was rejected.
  HomeAnswer Handle(const HomeRequest& aRequest);

  // Ensures that an attempt which has not started never starts. Both return
  // kForgotten when aHomeIncarnation is not this incarnation.
  AttemptReport Revoke(const AttemptId& aAttempt, Incarnation aHomeIncarnation);
  AttemptReport Query(const AttemptId& aAttempt,
                      Incarnation aHomeIncarnation) const;

  // Takes the servers of this box from the configuration. Unchanged servers
  // keep their state; a server that was restarted is a new one.
  void Apply(const Snapshot& aSnapshot);
  // Returns the services of which Apply replaced or removed a server since the
  // last call.
  std::set<ServiceName> TakeReplacedServices();
  // Rejects every new attempt, as the whole box is leaving.
  void SetLeaving();

  // Rejects new attempts at this incarnation of a server, not at later ones.
  void SetServerLeaving(const ServerIncarnation& aServer);

  LocalServerPtr Find(const BackendServerName& aName) const;
  std::vector<LocalServerPtr> Servers() const;
  int InFlight() const;
  HedgeCounts Hedges() const;
  // Answers of servers that were no valid HTTP, since the start of the box.
  std::uint64_t MalformedAnswers() const { return mMalformedAnswers; }

private:
  static constexpr std::size_t kShards = 8;

  struct Shard
  {
    mutable std::mutex mMutex;
    AttemptRegistry mRegistry;
  };

  Shard& ShardOf(const AttemptId& aAttempt) const;
  LocalServerPtr ReuseOrCreate(const BackendServerSpec& aSpec,
                               const LocalServerOptions& aOptions);
  ServerThrottlePtr ThrottleOf(const BackendServerSpec& aSpec, bool aReturned);
  HomeAnswer RunAdmitted(const HomeRequest& aRequest, Shard& aShard);
  void CountHedge(const HomeRequest& aRequest, const HomeAnswer& aAnswer);
  RetryBudgetOptions BudgetOf(const ServiceEntry& aService) const;

  const BoxName mBox;
  const Incarnation mIncarnation;
  const LocalServerOptions mServerOptions; // mDetection is set per service
  const RetrySettings mRetries;
  const ShutdownDeadline& mShutdownDeadline;
  CrashMonitor& mCrashMonitor;
  mutable std::array<Shard, kShards> mShards;
  mutable std::mutex mServersMutex;
  std::map<BackendServerName, LocalServerPtr> mServers;
  // What the servers demand; kept when a LocalServer is made anew.
  std::map<BackendServerName, ServerThrottlePtr> mThrottles;
  // Servers that are leaving in the last snapshot; under mServersMutex.
  std::set<BackendServerName> mConfiguredLeaving;
  std::set<ServiceName> mReplacedServices; // under mServersMutex
  bool mLeaving = false;                   // under mServersMutex
  std::atomic<std::uint64_t> mHedgesAdmitted{ 0 };
  std::atomic<std::uint64_t> mHedgesRejected{ 0 };
  std::atomic<std::uint64_t> mMalformedAnswers{ 0 };
};

} // namespace porttiller
