// What an entry has learned of the servers and boxes that it sends to: from
// answers, from refusals and from failures of the path. All of it is a hint;
// the home decides.
#pragma once

#include "porttiller/config/Snapshot.h"
#include "porttiller/home/ServerStateUpdate.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/AttemptPlan.h"
#include "porttiller/policy/Balancer.h"
#include "porttiller/policy/Subset.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace porttiller {

// A home's life and clock as an entry knows them.
struct HomeLife
{
  Incarnation mIncarnation;
  std::optional<Millis> mClockOffset; // the home's clock less the entry's
};

// What the next attempt may be sent to.
struct ChoiceTerms
{
  bool mMayFail = false;  // it may be a trial of a server that fails
  bool mOpenOnly = false; // nothing may speak against the server
};

struct Choice
{
  const BackendServerSpec* mServer = nullptr; // null when none is left
  bool mDemotedLeft = false; // some serve as the last resort only
};

// Thread-safe: services and boxes are in shards, each under its own lock.
class EntryView
{
public:
  EntryView(BoxName aBox, AvailabilityZone aZone, BalancerOptions aOptions);

  // The server for the next attempt.
  Choice Choose(const Snapshot& aSnapshot,
                const ServiceEntry& aService,
                const AttemptPlan& aPlan,
                const ChoiceTerms& aTerms,
                TimePoint aNow);

  void OnSent(const BackendServerSpec& aServer);
  void OnEnded(const BackendServerSpec& aServer);
  // The load ages: a server that nobody tries must not stay busy for ever.
  void OnLoad(const BackendServerSpec& aServer, double aLoad, TimePoint aNow);
  void OnRefused(const BackendServerSpec& aServer,
                 Refusal aRefusal,
                 Millis aRetryAfter,
                 bool aMayFail, // the request that was refused
                 TimePoint aNow);

  // Sent by the home of a server.
  void OnNews(const ServerStateUpdate& aNews, TimePoint aNow);

  // The way to a box fails or works; never held against its servers.
  void OnPathFailure(const BoxName& aBox, TimePoint aNow);
  void OnPathSuccess(const BoxName& aBox);
  HomeLife LifeOf(const BoxName& aBox) const;
  void SetLife(const BoxName& aBox, const HomeLife& aLife);
  // What membership knows of a box: dead and leaving ones are used last.
  void SetBoxUsable(const BoxName& aBox, bool aUsable);

  // Whether an answer of the service was an error of its server's own.
  void OnAnswered(const ServiceName& aService, bool aError);
  // The share of its answers that are; a moving average.
  double UsualErrors(const ServiceName& aService) const;

  // What homes tell of a route: nine in ten of its requests take no longer.
  void OnUsualTime(const ServiceName& aService,
                   const std::string& aRoute,
                   Micros aTime);
  // After this a repeatable request of the route is worth a second server.
  // aGiven: the time that it has in all.
  Micros RaceDelay(const ServiceName& aService,
                   const std::string& aRoute,
                   Micros aGiven) const;

  std::string Dump() const;

private:
  static constexpr std::size_t kShards = 16;

  // Of one start of a server; a later start begins with a new one.
  struct ServerView
  {
    std::optional<std::int64_t> mStartMs;
    int mInFlight = 0;
    double mLoad = 0.0; // as reported at mLoadAt
    TimePoint mLoadAt;
    Standing mStanding = Standing::kOpen;
    TimePoint mStandingUntil;
    // Its home turns away what must not fail there, and what may fail, too.
    TimePoint mBrokenUntil;
    TimePoint mNoTrialUntil;
  };

  struct BoxView
  {
    HomeLife mLife;
    int mFailures = 0; // in a row
    TimePoint mAvoidUntil;
    bool mUsable = true;
  };

  // A server where the choice finds it without look-ups.
  struct Place
  {
    const BackendServerSpec* mServer = nullptr;
    const BoxSpec* mBox = nullptr; // null: not known
    bool mSameZone = false;
    ServerView* mView = nullptr; // under its service's shard
    BoxView* mBoxView = nullptr; // under its box's shard
  };

  // All servers of a service in one snapshot, the entry's subset in front.
  struct ServerOrder
  {
    std::uint64_t mSerial = 0; // of the snapshot that it points into
    std::vector<Place> mPlaces;
    std::size_t mSubset = 0;
  };

  using ServerOrderPtr = std::shared_ptr<const ServerOrder>;

  struct ServiceShard
  {
    mutable std::mutex mMutex;
    std::map<BackendServerName, ServerView> mServers;
    std::map<std::string, Micros> mUsualTimes; // by route
    std::map<ServiceName, double> mErrors;     // share of the answers
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
  SubsetEntry OwnPlace(const Snapshot& aSnapshot);
  ServerOrderPtr OrderOf(const Snapshot& aSnapshot,
                         const ServiceEntry& aService);
  ServerOrderPtr MakeOrder(const Snapshot& aSnapshot,
                           const ServiceEntry& aService);
  bool PathAvoided(const Place& aPlace, TimePoint aNow) const;
  Candidate MakeCandidate(const Place& aPlace,
                          const AttemptPlan& aPlan,
                          bool aMayFail,
                          TimePoint aNow) const;
  // Of the next aMore places.
  void AddCandidates(std::vector<Candidate>& aCandidates,
                     const ServerOrder& aOrder,
                     std::size_t aMore,
                     const AttemptPlan& aPlan,
                     bool aMayFail,
                     TimePoint aNow) const;

  const BoxName mBox;
  const AvailabilityZone mZone;
  const BalancerOptions mOptions;
  std::mutex mOwnPlaceMutex;
  SubsetEntry mOwnPlace;             // under mOwnPlaceMutex
  std::uint64_t mOwnPlaceSerial = 0; // of its snapshot; under mOwnPlaceMutex
  mutable std::array<ServiceShard, kShards> mServices;
  mutable std::array<BoxShard, kShards> mBoxes;
};

} // namespace porttiller
