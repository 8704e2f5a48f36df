// A small fleet for tests, the demo and bench/: daemons as processes on
// loopback, with stand-ins around them.
#pragma once

#include "porttiller/http/HttpPool.h"
#include "standin/ChildProcess.h"
#include "standin/LinkStandIn.h"
#include "standin/PlatformStandIn.h"
#include "standin/ServerStandIn.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace porttiller::fleet {

struct FleetOptions
{
  int mBoxes = 3;
  int mServersPerBox = 1;
  int mFirstServerBox = 0; // boxes before it have no servers
  int mZones = 27;         // boxes are dealt to them in turns
  int mSlots = 9;
  int mFloorSlots = 9;
  std::string mDetection = "fast";
  int mPortBase = 22000;      // four ports for each box from here
  bool mOwnProcesses = false; // stand-ins as processes of their own too
  // Relays before the platform and before each box's home and control address.
  bool mLinks = false;
  std::string mExtraSettings; // more keys, starting with a comma
  Millis mDefaultDeadline{ 5000 };
};

struct Reply
{
  int mStatus = 0; // 0: no answer
  std::string mOutcome;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Everything is started by the constructor and ended by the destructor.
// Service "ledger" has its route at "/".
class Fleet
{
public:
  explicit Fleet(FleetOptions aOptions = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  standin::PlatformStandIn& Platform() { return *mPlatform; }
  standin::ServerStandIn& Server(int aIndex) { return *mServers.at(aIndex); }
  int ServerCount() const { return static_cast<int>(mServers.size()); }
  int RunsOf(const std::string& aId) const;
  // True once a request at this entry is answered by this server.
  bool WaitUsed(int aEntry, int aServer, Millis aTime);

  // Box by number.
  void StartBox(int aBox);
  void SignalBox(int aBox, int aSignal);
  int WaitForBoxExit(int aBox, Millis aTime);
  pid_t BoxProcess(int aBox) const { return mBoxes.at(aBox)->Id(); }
  // True when the box's state has the revision of the platform in force.
  bool WaitInForce(int aBox, Millis aTime);
  std::string State(int aBox) const;
  std::string Metrics(int aBox) const;
  // With mLinks: drops what is sent over the connections that are open, to the
  // platform and between boxes. Later ones work.
  void SilencePlatformLinks();
  void SilenceBoxLinks();
  // The phase of a server as its home has it, e.g. "ejected".
  std::string Phase(int aServer) const;
  // A metric without labels; 0 when it is not there.
  double Metric(int aBox, const std::string& aName) const;
  std::uint64_t Revision(int aBox) const;

  Reply Send(int aBox,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             const HttpHeaders& aHeaders = {},
             Millis aTime = Millis(10'000));

  std::string CallerAddress(int aBox) const;
  std::string HomeAddress(int aBox) const;
  std::string ControlAddress(int aBox) const;
  std::string AdminAddress(int aBox) const;
  std::string PlatformAddress() const;
  std::string ServerAddress(int aIndex) const;
  static std::string BoxName(int aBox);
  static std::string ServerName(int aIndex);
  int BoxOfServer(int aIndex) const;

  // Writes box aBox's entry in the platform's list, reached at these.
  void PutBox(int aBox,
              const std::string& aHomeAddress,
              const std::string& aControlAddress,
              const std::string& aState = "live");
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec);

private:
  int Servers() const;
  std::string Address(int aBox, int aPort) const;
  std::string SettingsFile(int aBox) const;
  std::string ZoneName(int aBox) const;
  void StartStandIns();
  void PutConfiguration();
  void StartLinks();
  std::string Admin(int aBox, const std::string& aPath) const;

  FleetOptions mOptions;
  std::string mDirectory;
  std::unique_ptr<standin::PlatformStandIn> mPlatform;
  std::vector<std::unique_ptr<standin::ServerStandIn>> mServers;
  std::vector<std::unique_ptr<standin::ChildProcess>> mStandIns;
  std::vector<std::unique_ptr<standin::ChildProcess>> mBoxes;
  std::vector<std::unique_ptr<HttpPool>> mCallers; // by box
  // With mLinks.
  std::unique_ptr<standin::LinkStandIn> mPlatformLink;
  std::vector<std::unique_ptr<standin::LinkStandIn>> mHomeLinks;    // by box
  std::vector<std::unique_ptr<standin::LinkStandIn>> mControlLinks; // by box
};

// Sends one request to an address; status 0 without an answer.
Reply
SendTo(HttpPool& aPool, const HttpRequestData& aRequest, Millis aTime);

// True once aCondition holds; asks again until aTime has passed.
bool
WaitUntil(Millis aTime, const std::function<bool()>& aCondition);

} // namespace porttiller::fleet
