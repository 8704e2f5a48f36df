// Daemon processes on loopback that use the mesh dialect, with an object
// store stand-in and one backend server stand-in for each box.
#pragma once

#include "fleet/Fleet.h"
#include "standin/LinkStandIn.h"
#include "standin/MeshServerStandIn.h"
#include "standin/ObjectStoreStandIn.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace porttiller::fleet {

// The service "ledger" is routed at "/safe/" (repeatable requests) and "/once/"
// (requests that run at most once) of host "a.example".
struct MeshFleetOptions
{
  int mBoxes = 3;
  int mPortBase = 25000; // first port, see FleetPort; each box uses eight
  // Puts relays between each box and the store, and between each box and its
  // server.
  bool mLinks = false;
  // Servers report their start times.
  bool mStartTimes = false;
  Millis mDrainNotice{ 2000 };
  Millis mDrain{ 12'000 };
  // A request whose target contains this crashes each server that runs it.
  // After mCrashDownTime the server is back under another id. Requires mLinks.
  std::string mCrashMarker;
  Millis mCrashDownTime{ 2000 };
  // False: the owner restarts crashed servers; see TakeRestartable.
  bool mRestartCrashed = true;
  Millis mWork{ 0 };      // processing time of a request at a server
  double mMemoryMb = 0.0; // resources.memory_mb; 0: not set
  std::size_t mMaxBodyBytes = 1 << 20;
};

// What one target did to the servers that ran it.
struct CrashRecord
{
  std::vector<TimePoint> mArrivals; // at servers
  std::vector<TimePoint> mCrashes;
};

// A request that a caller sends.
struct MeshRequest
{
  int mBox = 0;
  std::string mMethod = "GET";
  std::string mTarget = "/safe/x";
  std::string mId;
  std::string mKey; // API key; empty: none is sent
  std::string mBody;
  Millis mTimeout{ 4000 };
  HttpPool* mPool = nullptr; // null: use a new connection
};

// The head of a request for callers that write it themselves; the fields of its
// body and the empty line are to follow.
std::string
HeadOf(const MeshRequest& aRequest);

class MeshFleet
{
public:
  explicit MeshFleet(MeshFleetOptions aOptions);
  MeshFleet(int aBoxes, int aPortBase)
    : MeshFleet({ .mBoxes = aBoxes, .mPortBase = aPortBase })
  {
  }
  ~MeshFleet();
  MeshFleet(const MeshFleet&) = delete;
  MeshFleet& operator=(const MeshFleet&) = delete;

  standin::ObjectStoreStandIn& Store() { return *mStore; }
  standin::MeshServerStandIn& Server(int aBox) { return *mServers.at(aBox); }

  // Both require mLinks.
  standin::LinkStandIn& StoreLink(int aBox) { return *mStoreLinks.at(aBox); }
  standin::LinkStandIn& ServerLink(int aBox) { return *mServerLinks.at(aBox); }
  // Stops the server of a box and starts one with another id at its address.
  void ReplaceServer(int aBox);
  // Stops the server of a box without a message and starts it again under its
  // id. Its next SendHeartbeat reports the new start time.
  void RestartServer(int aBox);

  void StartBox(int aBox, bool aFirstStart = false);
  void SignalBox(int aBox, int aSignal);
  int WaitForBoxExit(int aBox, Millis aTimeout);
  bool Ready(int aBox);
  int PidOf(int aBox) const;
  // Waits until every running box uses exactly this many servers; returns false
  // on timeout.
  bool WaitServers(int aCount);
  // Writes the next version of the configuration document, with one more route
  // if aExtraPrefix is not empty.
  void Configure(const std::string& aExtraPrefix = "");
  // Sets the workspaces of this and later versions of the document, as JSON;
  // empty for none.
  void SetWorkspaces(const std::string& aTenants);

  // Crashes the server of a box: its connections end and its address refuses
  // new ones. Requires mCrashMarker.
  void CrashServer(int aBox);
  // Whether the server of a box has crashed and was not started again.
  bool IsDown(int aBox);
  // Boxes whose crashed servers are due to start again; each is returned once.
  // The caller must call StartCrashed for them.
  std::vector<int> TakeRestartable();
  void StartCrashed(int aBox);
  // Requests that crash servers, as they arrived at servers so far.
  std::size_t CrashArrivals();
  // Stops restarting crashed servers and returns the records by target. Other
  // functions that use servers must not be called before.
  std::map<std::string, CrashRecord> EndCrashes();

  Reply Send(const MeshRequest& aRequest);
  Reply Send(int aBox,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aId,
             const std::string& aBody = "",
             Millis aTimeout = Millis(4000));
  int RunsOf(const std::string& aId) const;
  // The workspace that a server received with this request; empty if no current
  // server ran it.
  std::string WorkspaceOf(const std::string& aId) const;
  // All request headers that the current servers have received.
  std::string HeadersSeenByServers() const;
  std::string State(int aBox) const;
  std::string MetricsOf(int aBox) const;
  // Ends the quarantine of a request at a box; true if it had one.
  bool ClearRequest(int aBox, const std::string& aDigest);
  std::string CallerAddress(int aBox) const { return Address(aBox, 0); }
  std::string LogOf(int aBox) const;

private:
  std::string Address(int aBox, int aPort) const;
  std::string SettingsFile(int aBox, bool aFirstStart) const;
  std::unique_ptr<standin::MeshServerStandIn> MakeServer(int aBox);
  void RetireServer(int aBox);
  void RestartCrashedServers();

  const MeshFleetOptions mOptions;
  std::string mDirectory;
  std::string mTenants;
  int mVersion = 0;
  int mReplacements = 0;
  std::int64_t mStarts = 0; // of servers that report a start time
  std::unique_ptr<standin::ObjectStoreStandIn> mStore;
  std::vector<std::unique_ptr<standin::ChildProcess>> mBoxes; // null: exited
  std::vector<std::unique_ptr<standin::LinkStandIn>> mStoreLinks;
  std::vector<std::unique_ptr<standin::LinkStandIn>> mServerLinks;
  std::vector<std::unique_ptr<standin::MeshServerStandIn>> mServers;
  // Stopped servers, kept because RunsOf counts their requests, too.
  std::vector<std::unique_ptr<standin::MeshServerStandIn>> mRetired;
  std::mutex mCrashMutex;
  std::condition_variable mCrashChanged;
  std::map<std::string, CrashRecord> mCrashRecords; // under mCrashMutex
  std::map<int, TimePoint> mDown; // box to its crash; under mCrashMutex
  std::set<int> mRestarting;      // taken by TakeRestartable; under mCrashMutex
  bool mEndCrashes = false;       // under mCrashMutex
  std::thread mCrashThread;       // only with mCrashMarker
};

} // namespace porttiller::fleet
