// The home role: every request to a backend server of this box passes here.
#pragma once

#include "porttiller/config/Snapshot.h"
#include "porttiller/home/LocalServer.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/AttemptRegistry.h"
#include "porttiller/policy/RetryShare.h"

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// Thread-safe: the attempt record is in shards by entry box, each under its
// own lock; each server has a lock of its own.
class Home
{
public:
  Home(BoxName aBox,
       Incarnation aIncarnation,
       LocalServerOptions aServerOptions,
       RetrySettings aRetries,
       const Cutoff& aCutoff);

  Incarnation OwnIncarnation() const { return mIncarnation; }

  // Runs an attempt at most once; answers when it ended or was refused.
  HomeAnswer Handle(const HomeRequest& aRequest);

  // After this an attempt that has not begun never will.
  AttemptReport Revoke(const AttemptId& aAttempt, Incarnation aNamed);
  AttemptReport Query(const AttemptId& aAttempt, Incarnation aNamed) const;

  // Servers of this box as configured; kept ones keep their state.
  // A server that started again is a new one.
  void Apply(const Snapshot& aSnapshot);
  // Services of which Apply replaced or took away a server since the last call.
  std::set<ServiceName> TakeReplacedServices();
  // The whole box leaves: every new attempt is refused.
  void SetLeaving();

  // This start of a server takes nothing new from now on; a later one does.
  void SetServerLeaving(const ServerIncarnation& aServer);

  LocalServerPtr Find(const BackendServerName& aName) const;
  std::vector<LocalServerPtr> Servers() const;
  int InFlight() const;

private:
  static constexpr std::size_t kShards = 8;

  struct Shard
  {
    mutable std::mutex mMutex;
    AttemptRegistry mRegistry;
  };

  Shard& ShardOf(const AttemptId& aAttempt) const;
  LocalServerPtr KeptOrNew(const BackendServerSpec& aSpec,
                           const LocalServerOptions& aOptions) const;
  HomeAnswer RunAdmitted(const HomeRequest& aRequest, Shard& aShard);
  RetryBudgetOptions BudgetOf(const ServiceEntry& aService) const;

  const BoxName mBox;
  const Incarnation mIncarnation;
  const LocalServerOptions mServerOptions; // but for the detection
  const RetrySettings mRetries;
  const Cutoff& mCutoff;
  mutable std::array<Shard, kShards> mShards;
  mutable std::mutex mServersMutex;
  std::map<BackendServerName, LocalServerPtr> mServers;
  // Servers that the last snapshot has as leaving; under mServersMutex.
  std::set<BackendServerName> mConfiguredLeaving;
  std::set<ServiceName> mReplaced; // under mServersMutex
  bool mLeaving = false;           // under mServersMutex
};

} // namespace porttiller
