// A small fleet for tests, the demo and bench/: daemon processes on loopback,
// and stand-ins for the platform and the backend servers.
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
  int mFirstServerBox = 0; // lower box numbers have no servers
  int mZones = 27;         // boxes are assigned round-robin
  int mSlots = 9;          // concurrent requests per server
  int mFloorSlots = 9;
  std::string mDetection = "fast";
  int mPortBase = 22000;      // first port, see FleetPort; each box uses four
  bool mOwnProcesses = false; // run each stand-in as a process
  // Puts a relay in front of the platform and of each box's home and control
  // address.
  bool mLinks = false;
  std::string mExtraSettings; // JSON members, with a leading comma
  Millis mDefaultDeadline{ 5000 };
};

struct Reply
{
  int mStatus = 0; // 0: no answer
  std::string mOutcome;
  HttpHeaders mHeaders;
  std::string mBody;
};

// The constructor starts all processes and the destructor ends them. Requests
// to any path are routed to the service "ledger".
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
  // Stops a server and starts it again under its name and address.
  void RestartServer(int aIndex, Millis aDownTime);
  int RunsOf(const std::string& aId) const;
  // Sends requests to an entry until this server answers one; false after
  // aTimeout.
  bool WaitUntilUsed(int aEntry, int aServer, Millis aTimeout);

  // Boxes are numbered from 0.
  void StartBox(int aBox);
  void SignalBox(int aBox, int aSignal);
  int WaitForBoxExit(int aBox, Millis aTimeout);
  pid_t BoxProcess(int aBox) const { return mBoxes.at(aBox)->Id(); }
  // Waits until the box uses the platform's newest configuration; false after
  // aTimeout.
  bool WaitInForce(int aBox, Millis aTimeout);
  std::string State(int aBox) const;
  std::string Metrics(int aBox) const;
  // These require mLinks. They drop all data on the connections that are open,
  // to the platform or between boxes; new connections work.
  void SilencePlatformLinks();
  void SilenceBoxLinks();
  // The phase of a server as its home reports it, e.g. "ejected".
  std::string Phase(int aServer) const;
  // The value of a metric without labels; 0 if there is no such metric.
  double Metric(int aBox, const std::string& aName) const;
  std::uint64_t Revision(int aBox) const;

  Reply Send(int aBox,
             const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             const HttpHeaders& aHeaders = {},
             Millis aTimeout = Millis(10'000));

  std::string CallerAddress(int aBox) const;
  std::string HomeAddress(int aBox) const;
  std::string ControlAddress(int aBox) const;
  std::string AdminAddress(int aBox) const;
  std::string PlatformAddress() const;
  std::string ServerAddress(int aIndex) const;
  static std::string BoxName(int aBox);
  static std::string ServerName(int aIndex);
  int BoxOfServer(int aIndex) const;

  // Writes the Box object of aBox with these addresses to the platform.
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
  // Only with mLinks.
  std::unique_ptr<standin::LinkStandIn> mPlatformLink;
  std::vector<std::unique_ptr<standin::LinkStandIn>> mHomeLinks;    // by box
  std::vector<std::unique_ptr<standin::LinkStandIn>> mControlLinks; // by box
};

// Sends one request over a pool; the status is 0 if there is no answer.
Reply
SendTo(HttpPool& aPool, const HttpRequestData& aRequest, Millis aTimeout);

// Polls until aCondition holds and returns true; returns false after aTimeout.
bool
WaitUntil(Millis aTimeout, const std::function<bool()>& aCondition);

} // namespace porttiller::fleet
