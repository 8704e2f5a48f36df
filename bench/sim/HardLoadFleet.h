// Simulation of one service under the load of docs/design/hard-load.md: long
// requests with heavy tails, servers that reset connections in episodes, hang,
// or reject requests, and a surge of traffic. Runs the ServerBreaker (with its
// SilenceDetector, RouteTimes and CircuitBreaker), SlotQueue and RetryBudget of
// the homes and the AttemptPlan of the entries unmodified. All entries share
// one view of the servers, paths between boxes do not fail, servers make no
// calls of their own, and requests have no workspaces.
#pragma once

#include "porttiller/home/ServerBreaker.h"
#include "porttiller/policy/AttemptPlan.h"
#include "porttiller/policy/RetryShare.h"
#include "porttiller/policy/SlotQueue.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <vector>

namespace porttiller::bench {

struct HardLoadOptions
{
  bool mLongRules = true; // requests carry their long target
  std::size_t mServers = 38;
  double mRequestsPerS = 5.0; // for each server
  Micros mLength{ 30'000'000 };
  std::uint64_t mSeed = 1;
};

struct HardLoadOutcome
{
  int mRequests = 0;
  int mServed = 0;
  int mUnrepeatable = 0;
  int mLost = 0; // unrepeatable requests with an unknown outcome
  int mRetries = 0;
  double mRetriesAllowed = 0.0; // over the whole run
  int mAlarms = 0;              // servers demoted as silent
  int mFalseAlarms = 0;         // while the server did not hang

  double ServedShare() const
  {
    return static_cast<double>(mServed) / std::max(1, mRequests);
  }
};

class HardLoadFleet
{
public:
  explicit HardLoadFleet(HardLoadOptions aOptions);

  HardLoadOutcome Run();

private:
  struct Server
  {
    explicit Server(std::size_t aServers);

    RouteTimes mTimes;
    ServerBreaker mBreaker;
    SlotQueue mQueue;
    RetryBudget mBudget;
    bool mDemoted = false;
    bool mKnownDemoted = false; // by the entries
    TimePoint mNextTrial;       // that the entries send
    TimePoint mAvoidUntil;      // as its home asked the entries
    TimePoint mEpisodeUntil;
    TimePoint mHangsUntil;
  };

  struct Request
  {
    AttemptPlan mPlan;
    bool mRepeatable = false;
    TimePoint mDeadline;
    std::set<Ticket> mAttempts; // that have not ended
  };

  struct Attempt
  {
    std::uint64_t mRequestNumber = 0;
    std::size_t mServer = 0;
    HomeRequest mRequest;
    TimePoint mStarted;
    bool mRuns = false;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  using RequestIt = std::map<std::uint64_t, Request>::iterator;

  void At(TimePoint aTime, std::function<void()> aRun);
  double Uniform();
  Micros Exponential(Micros aMean);
  void ScheduleEpisode(std::size_t aServer);
  void Tick();
  void CheckSilence(Server& aServer);
  void RejectWaiters(std::size_t aServer);
  void Arrive();
  std::optional<std::size_t> Choose(const AttemptPlan& aPlan, bool aTrial);
  void SendNext(RequestIt aRequest);
  void Send(RequestIt aRequest, std::size_t aServer, bool aCanFailOver);
  void Hedge(std::uint64_t aRequest);
  void ArriveAtHome(Ticket aTicket);
  void Start(Ticket aTicket);
  void Reject(Ticket aTicket, NotRunReason aReason);
  void End(Ticket aTicket, const HomeAnswer& aAnswer);
  void ReleaseSlot(Server& aServer, std::optional<Micros> aTime);
  void Finish(RequestIt aRequest, bool aServed);

  const HardLoadOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  std::vector<std::unique_ptr<Server>> mServers;
  std::map<std::uint64_t, Request> mRequests;
  std::map<Ticket, Attempt> mAttempts;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNext = 0; // number of the newest event, request or attempt
  HardLoadOutcome mOutcome;
};

} // namespace porttiller::bench
