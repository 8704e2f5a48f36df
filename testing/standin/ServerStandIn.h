// Stands in for a backend server: echoes each request with its id, counts how
// often each id ran, and fails in the ways that backend servers fail.
#pragma once

#include "porttiller/core/Time.h"
#include "standin/HttpStandIn.h"

#include <atomic>
#include <map>
#include <mutex>

namespace porttiller::standin {

struct ServerBehaviour
{
  int mServiceMs = 0;      // time that each request takes
  int mFailPercent = 0;    // answered with 500
  std::string mFailPrefix; // only paths below this fail, if set
  int mHalfPercent = 0;    // body cut short
  int mCloseEvery = 0;     // ran, then closed without an answer
  int mFlapMs = 0;         // sick and well in turns of this length
  int mColdMs = 0;         // slow for this long after the change
  bool mDraining = false;  // refuses, and says that it is leaving
};

class ServerStandIn
{
public:
  ServerStandIn(std::string aName, const std::string& aAddress);

  std::string Address() const { return mServer->Address(); }
  void Set(const ServerBehaviour& aBehaviour);
  // How often the request with this X-Request-Id was run.
  int RunsOf(const std::string& aId) const;
  std::uint64_t Runs() const { return mTotal; }
  // The most that any one id was run.
  int MostRuns() const;

private:
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);
  void Control(Poco::Net::HTTPServerRequest& aRequest,
               Poco::Net::HTTPServerResponse& aResponse);
  void Run(Poco::Net::HTTPServerRequest& aRequest,
           Poco::Net::HTTPServerResponse& aResponse);
  ServerBehaviour Current(TimePoint aNow) const;
  void CountRun(const std::string& aId);

  std::string mName;
  mutable std::mutex mMutex;
  ServerBehaviour mBehaviour;
  TimePoint mSince;
  std::map<std::string, int> mRuns;
  std::atomic<std::uint64_t> mTotal{ 0 };
  std::atomic<int> mInFlight{ 0 };
  std::unique_ptr<HttpStandIn> mServer;
};

// The body that a server sends back for a request.
std::string
EchoOf(const std::string& aServer,
       const std::string& aId,
       const std::string& aBody);

} // namespace porttiller::standin
