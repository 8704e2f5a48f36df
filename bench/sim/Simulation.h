// Runs one service through one scenario in simulated time: requests arrive, the
// policy chooses servers, rejects requests and learns from responses. All
// decisions are made by the public classes of the policy library; of the
// network, only fixed delays and lost requests are modelled.
#pragma once

#include "porttiller/policy/RetryBudget.h"
#include "porttiller/policy/SlotQueue.h"
#include "sim/FaultModel.h"
#include "sim/Policies.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>

namespace porttiller::bench {

struct RunOptions
{
  std::string mPolicy = "porttiller";
  std::uint64_t mSeed = 1;
  std::optional<double> mThreshold; // replaces the deployment's threshold
};

struct RunResult
{
  double mDetectionMs = -1.0; // -1: not detected, or no server at fault
  int mFalseEjections = 0;    // removals of healthy servers from use
  int mFailedRequests = 0;    // failed requests seen by callers
  int mRequests = 0;
  // While the fault is active, by priority: answered in time, and offered.
  std::array<int, kPriorityCount> mGood{};
  std::array<int, kPriorityCount> mOffered{};
  double mCapacity = 0.0; // requests that all slots can serve during the fault
};

class Simulation
{
public:
  Simulation(const Deployment& aDeployment,
             const Scenario& aScenario,
             const RunOptions& aOptions);

  RunResult Run();

private:
  struct Request
  {
    int mEntry = 0;
    int mCallKind = 0;
    bool mRepeatable = false;
    Priority mPriority = Priority::kNormal;
    TimePoint mDeadline;
    std::vector<bool> mTried;
    std::vector<bool> mDemoted;
    bool mLastResort = false;
    int mAttempts = 0;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void At(TimePoint aTime, std::function<void()> aRun);
  void ArriveNext();
  void Arrive();
  std::vector<Candidate> Candidates(const Request& aRequest) const;
  void Dispatch(Ticket aId);
  bool AllowDemoted(Request& aRequest);
  void OnLost(Ticket aId, int aServer);
  void ArriveAtHome(Ticket aId, int aServer);
  void Start(Ticket aId, int aServer);
  void Complete(Ticket aId, int aServer, Micros aTime, bool aFailed);
  void ReleaseSlot(int aServer, std::optional<Micros> aTime);
  void OnFailure(Ticket aId);
  void End(Ticket aId, bool aGood);
  void Tick();
  void RestartCold();
  void CountRemovals();
  bool IsAtFault(int aServer) const;
  double Uniform();

  const Deployment& mDeployment;
  const Scenario& mScenario;
  std::mt19937_64 mRandom;
  FaultModel mFaults;
  Policy mPolicy;
  std::vector<SlotQueue> mQueues;
  std::vector<bool> mWasRemoved;
  std::vector<double> mReportedLoad;
  RetryBudget mBudget;
  std::map<Ticket, Request> mRequests;
  std::priority_queue<Event> mEvents;
  TimePoint mNow;
  std::uint64_t mOrder = 0;
  Ticket mNextTicket = 1;
  RunResult mResult;
};

} // namespace porttiller::bench
