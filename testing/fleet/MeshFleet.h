// Daemons as processes on loopback that speak as on the users' machines, with
// a store and one backend server beside each.
#pragma once

#include "fleet/Fleet.h"
#include "standin/LinkStandIn.h"
#include "standin/MeshServerStandIn.h"
#include "standin/ObjectStoreStandIn.h"

#include <memory>
#include <string>
#include <vector>

namespace porttiller::fleet {

// Service "ledger" takes GET and POST below "/safe/" and "/once/" of host
// "a.example"; the latter run once at most.
struct MeshFleetOptions
{
  int mBoxes = 3;
  int mPortBase = 25000;
  // Relays between each box and the store, and each box and its server.
  bool mLinks = false;
  // Servers report when they started.
  bool mStartTimes = false;
  Millis mDrainNotice{ 2000 };
  Millis mDrain{ 12'000 };
};

// One request of a caller.
struct MeshRequest
{
  int mBox = 0;
  std::string mMethod = "GET";
  std::string mTarget = "/safe/x";
  std::string mId;
  std::string mKey; // empty: the request carries none
  std::string mBody;
  Millis mTime{ 4000 };
  HttpPool* mPool = nullptr; // null: a connection of its own
};

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

  // With mLinks.
  standin::LinkStandIn& StoreLink(int aBox) { return *mStoreLinks.at(aBox); }
  standin::LinkStandIn& ServerLink(int aBox) { return *mServerLinks.at(aBox); }
  // The server of a box ends, and one with another id has its address.
  void ReplaceServer(int aBox);
  // The server of a box ends without a message and starts again under its id.
  // Its next Beat reports the new start.
  void RestartServer(int aBox);

  void StartBox(int aBox, bool aFirstStart = false);
  void SignalBox(int aBox, int aSignal);
  int WaitForBoxExit(int aBox, Millis aTime);
  bool Ready(int aBox);
  int PidOf(int aBox) const;
  // True once every running box routes to this many servers that take work.
  bool WaitServers(int aCount);
  // Writes the operator's document, with one more route if named.
  void Configure(const std::string& aExtraPrefix = "");
  // The document's workspaces from now on, as JSON; "": none.
  void SetWorkspaces(const std::string& aTenants);

  Reply Send(const MeshRequest& aRequest);
  Reply Send(int aBox,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aId,
             const std::string& aBody = "",
             Millis aTime = Millis(4000));
  int RunsOf(const std::string& aId) const;
  // As the server was told that ran the request last.
  std::string WorkspaceOf(const std::string& aId) const;
  // All headers that servers have got.
  std::string SeenByServers() const;
  std::string State(int aBox) const;
  std::string MetricsOf(int aBox) const;
  std::string CallerAddress(int aBox) const { return Address(aBox, 0); }
  std::string LogOf(int aBox) const;

private:
  std::string Address(int aBox, int aPort) const;
  std::string SettingsFile(int aBox, bool aFirstStart) const;
  std::unique_ptr<standin::MeshServerStandIn> MakeServer(int aBox);
  void RetireServer(int aBox);

  const MeshFleetOptions mOptions;
  std::string mDirectory;
  std::string mTenants;
  int mVersion = 0;
  int mReplacements = 0;
  std::int64_t mStarts = 0; // of servers that report their start
  std::unique_ptr<standin::ObjectStoreStandIn> mStore;
  std::vector<std::unique_ptr<standin::ChildProcess>> mBoxes; // null: ended
  std::vector<std::unique_ptr<standin::LinkStandIn>> mStoreLinks;
  std::vector<std::unique_ptr<standin::LinkStandIn>> mServerLinks;
  std::vector<std::unique_ptr<standin::MeshServerStandIn>> mServers;
  std::vector<std::unique_ptr<standin::MeshServerStandIn>> mRetired;
};

} // namespace porttiller::fleet
