// State that an entry keeps about the servers and boxes that it sends to,
// learned from answers, rejections, server updates and network failures. It
// only guides the choice of a server; the home decides.
#pragma once

#include "porttiller/config/Snapshot.h"
#include "porttiller/home/ServerStateUpdate.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/AttemptPlan.h"
#include "porttiller/policy/Balancer.h"
#include "porttiller/policy/HedgePolicy.h"
#include "porttiller/policy/Subset.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace porttiller {

// A home's incarnation and clock, as far as the entry knows them.
struct HomeState
{
  Incarnation mIncarnation;
  std::optional<Millis> mClockOffset; // the home's clock minus the entry's
};

// Where a demand of a server was learned.
enum class DemandSource
{
  kAnswer,   // with an answer of the server
  kRejection // with a rejection by its home, which may not know of a limit
};

// Limits the servers that the next attempt may be sent to.
struct ChoiceConstraints
{
  bool mCanFailOver = false;    // may be a trial request to a demoted server
  bool mOpenOnly = false;       // only servers whose eligibility is kOpen
  bool mLargeResponses = false; // of the request's route
};

struct Choice
{
  const BackendServerSpec* mServer = nullptr; // null when none is left
  bool mDemotedLeft = false; // untried servers are left as the last resort
};

// Thread-safe: services and boxes are sharded, with a lock per shard.
class EntryView
{
public:
  EntryView(BoxName aBox, AvailabilityZone aZone, BalancerOptions aOptions);

  // Chooses the server for the next attempt.
  Choice Choose(const Snapshot& aSnapshot,
                const ServiceEntry& aService,
                const AttemptPlan& aPlan,
                const ChoiceConstraints& aConstraints,
                TimePoint aNow);

  void OnSent(const BackendServerSpec& aServer);
  void OnEnded(const BackendServerSpec& aServer);
  // The reported load decays: a server that gets no requests sends no new
  // report and would otherwise be avoided for ever.
  void OnLoad(const BackendServerSpec& aServer, double aLoad, TimePoint aNow);
  void OnRejected(const BackendServerSpec& aServer,
                  RejectReason aRejectReason,
                  Millis aRetryAfter,
                  bool aCanFailOver, // of the rejected request
                  TimePoint aNow,
                  bool aSilent = false); // with kDemoted: see HomeAnswer

  // What the home of the server tells of the server's demands.
  void OnDemand(const BackendServerSpec& aServer,
                const ServerDemand& aDemand,
                DemandSource aSource,
                TimePoint aNow);
  // The limit that the server names, for its home; null if none is known.
  std::optional<LimitNote> LimitOf(const BackendServerSpec& aServer,
                                   TimePoint aNow) const;
  // A server update sent by the home of the server.
  void OnServerUpdate(const ServerStateUpdate& aUpdate, TimePoint aNow);

  // The network path to a box failed or succeeded. Not counted against its
  // servers.
  void OnPathFailure(const BoxName& aBox, TimePoint aNow);
  void OnPathSuccess(const BoxName& aBox);
  HomeState HomeStateOf(const BoxName& aBox) const;
  void SetHomeState(const BoxName& aBox, const HomeState& aState);
  // From membership: dead and leaving boxes are used last.
  void SetBoxUsable(const BoxName& aBox, bool aUsable);

  // aError: the server itself answered with an error.
  void OnAnswered(const ServiceName& aService, bool aError);
  // Moving average of the share of errors among the service's answers, 0 to 1.
  double ErrorRate(const ServiceName& aService) const;

  // A home's 90th percentile of the latency of a route.
  void OnLatencyP90(const ServiceName& aService,
                    const std::string& aRoute,
                    Micros aLatencyP90);
  // Delay after which a repeatable request of the route is hedged. Fills in the
  // latency of aTiming.
  Micros HedgeDelay(const ServiceName& aService,
                    const std::string& aRoute,
                    HedgeTiming aTiming) const;

  std::string Dump() const;

private:
  static constexpr std::size_t kShards = 16;

  // Of one incarnation of a server; the next one starts with a new view.
  struct ServerView
  {
    std::optional<std::int64_t> mStartMs;
    int mInFlight = 0;
    double mLoad = 0.0; // as reported at mLoadAt
    TimePoint mLoadAt;
    Eligibility mEligibility = Eligibility::kOpen;
    TimePoint mEligibilityUntil;
    // Until mDemotedUntil its home rejects requests that cannot fail over,
    // until mNoTrialUntil also trial requests.
    TimePoint mDemotedUntil;
    TimePoint mNoTrialUntil;
    bool mSilent = false; // while demoted: its home has lost no response
    ServerDemand mDemand;
    TimePoint mLimitAt;   // when the limit of mDemand was heard of
    TimePoint mNextTurn;  // with a limit: no request before
    TimePoint mLeavingAt; // with mDemand.mLeaving
  };

  struct BoxView
  {
    HomeState mHomeState;
    int mFailures = 0; // consecutive failures of the network path
    TimePoint mAvoidUntil;
    bool mUsable = true;
  };

  // A server with pointers to all that the choice needs, to save look-ups.
  struct ResolvedServer
  {
    const BackendServerSpec* mServer = nullptr;
    const BoxSpec* mBox = nullptr; // null: not in the snapshot
    bool mSameZone = false;
    ServerView* mView = nullptr; // guarded by its service's shard
    BoxView* mBoxView = nullptr; // guarded by its box's shard
  };

  // All servers of a service in one snapshot, the entry's subset first.
  struct ServerOrder
  {
    std::uint64_t mSerial = 0; // of the snapshot that it refers to
    std::vector<ResolvedServer> mResolvedServers;
    std::size_t mSubsetSize = 0;
  };

  using ServerOrderPtr = std::shared_ptr<const ServerOrder>;

  struct ServiceShard
  {
    mutable std::mutex mMutex;
    std::map<BackendServerName, ServerView> mServers;
    std::map<std::string, Micros> mLatencyP90s; // by route
    std::map<ServiceName, double> mErrorRates;  // by service, 0 to 1
    std::map<ServiceName, ServerOrderPtr> mOrders;
  };

  struct BoxShard
  {
    mutable std::mutex mMutex;
    std::map<BoxName, BoxView> mBoxes;
  };

  static ServerView* ViewOf(ServiceShard& aShard,
                            const ServerIncarnation& aServer);
  ServiceShard& ShardOf(const ServiceName& aService) const;
  BoxShard& ShardOf(const BoxName& aBox) const;
  SubsetEntry OwnSubsetEntry(const Snapshot& aSnapshot);
  ServerOrderPtr OrderOf(const Snapshot& aSnapshot,
                         const ServiceEntry& aService);
  ServerOrderPtr MakeOrder(const Snapshot& aSnapshot,
                           const ServiceEntry& aService);
  static void TakeLimit(ServerView& aView,
                        const std::optional<LimitNote>& aLimit,
                        TimePoint aNow);
  static void TakeLeaving(ServerView& aView, TimePoint aNow);
  static bool SaysLeaving(const ServerView& aView, TimePoint aNow);
  bool PathAvoided(const ResolvedServer& aResolved, TimePoint aNow) const;
  Candidate MakeCandidate(const ResolvedServer& aResolved,
                          const AttemptPlan& aPlan,
                          const ChoiceConstraints& aConstraints,
                          TimePoint aNow) const;
  // Adds up to aMaxCount servers, in the order of aOrder.
  void AddCandidates(std::vector<Candidate>& aCandidates,
                     const ServerOrder& aOrder,
                     std::size_t aMaxCount,
                     const AttemptPlan& aPlan,
                     const ChoiceConstraints& aConstraints,
                     TimePoint aNow) const;

  const BoxName mBox;
  const AvailabilityZone mZone;
  const BalancerOptions mOptions;
  std::mutex mSubsetEntryMutex;
  // Guarded by mSubsetEntryMutex, with the serial of its snapshot.
  SubsetEntry mSubsetEntry;
  std::uint64_t mSubsetEntrySerial = 0;
  mutable std::array<ServiceShard, kShards> mServices;
  mutable std::array<BoxShard, kShards> mBoxes;
};

} // namespace porttiller
