// A soak: a fleet of real processes under load from callers and under faults
// that are derived from a seed.
#pragma once

#include "soak/Checks.h"
#include "soak/Schedule.h"

#include <deque>
#include <set>

namespace porttiller::soak {

struct SoakOptions
{
  ScheduleOptions mSchedule;
  int mPortBase = 27000;
  int mClientsPerBox = 3;
};

struct SoakResult
{
  std::size_t mRequests = 0;
  std::size_t mServed = 0;
  std::vector<std::string> mViolations; // a line for each violated guarantee
};

// Injects the faults from the calling thread. Heartbeats and callers run in
// threads of their own.
class Soak
{
public:
  explicit Soak(SoakOptions aOptions);
  ~Soak();

  SoakResult Run();
  // The log of a box; empty if its file no longer exists.
  std::string LogOf(int aBox) const { return mFleet.LogOf(aBox); }

private:
  // Of a server, in its answers.
  struct Demand
  {
    const standin::MeshServerStandIn* mServer = nullptr;
    std::string mId;
    TimePoint mSince;
    bool mLimited = false; // otherwise it leaves
  };

  void Begin(const Fault& aFault);
  void End(const Fault& aFault);
  void BeginBoxFault(const Fault& aFault);
  void EndBoxFault(const Fault& aFault);
  void RecordOutageEnd(const Fault& aFault);
  void SetServer(int aBox, const standin::MeshServerFaults& aFaults);
  void RestartServer(int aBox);
  void WriteForeignObjects(int aBox);
  void RepeatCrashingRequest(const Fault& aFault);
  void StartCrashedServers();
  void BeginDemand(const Fault& aFault);
  void EndDemand(const Fault& aFault);
  void CheckDemand(const Demand& aDemand);
  void BeginReplacement(int aBox);
  void EndReplacement(int aBox);
  void ClearFaults();
  void CheckRecovery(SoakResult& aResult);

  const SoakOptions mOptions;
  fleet::MeshFleet mFleet;
  Observations mObservations;
  fleet::ThrottleLog mThrottles{ "Server-Limit", "Server-Leaving" };
  std::map<int, Demand> mDemands; // by box; other faults end a limit
  std::vector<std::string> mDemandViolations;
  std::set<int> mDown; // killed or stopped, not yet restarted
  std::set<int> mPaused;
  // One mutex for each box, because a server may be replaced while its
  // heartbeat is sent.
  std::deque<std::mutex> mServerMutexes;
  std::deque<bool> mDraining; // by box, under its mutex: its server drains
  std::atomic<bool> mStop{ false };
  std::unique_ptr<Clients> mClients;
  std::vector<std::thread> mHeartbeats; // one thread for each box
  std::vector<std::thread> mCrashers;   // one for each crashing request
};

} // namespace porttiller::soak
