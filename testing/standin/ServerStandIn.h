// A test double of a backend server: echoes each request with its id, counts
// the runs of each id, and injects faults.
#pragma once

#include "porttiller/core/Time.h"
#include "standin/HttpStandIn.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace porttiller::standin {

struct ServerBehaviour
{
  int mServiceMs = 0;      // processing time of a request
  int mFailPercent = 0;    // share of requests answered with 500
  std::string mFailPrefix; // if set, only paths with this prefix fail
  int mHalfPercent = 0;    // share of responses with a truncated body
  int mCloseEvery = 0;    // every nth request runs but gets no response; 0: off
  int mFlapMs = 0;        // failures turn on and off at this interval; 0: off
  int mColdMs = 0;        // ten times slower for this long after Set
  bool mDraining = false; // rejects requests as not run, reason "leaving"
  // Value of the limit header in each answer; empty: none.
  std::string mLimit;
  bool mLeaving = false; // each answer has the leaving header
  // Share of requests that it rejects as not run, with the headers above.
  int mRejectPercent = 0;
};

class ServerStandIn
{
public:
  ServerStandIn(std::string aName, const std::string& aAddress);

  std::string Address() const { return mServer->Address(); }
  void Set(const ServerBehaviour& aBehaviour);
  // Number of runs of the request with this X-Request-Id.
  int RunsOf(const std::string& aId) const;
  std::uint64_t Runs() const { return mTotalRuns; }
  // The highest number of runs of a single request id.
  int MaxRuns() const;
  // Called with the id of each request that arrives, run or not.
  void SetOnArrival(std::function<void(const std::string& aId)> aListener);

private:
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);
  void Control(Poco::Net::HTTPServerRequest& aRequest,
               Poco::Net::HTTPServerResponse& aResponse);
  void Run(Poco::Net::HTTPServerRequest& aRequest,
           Poco::Net::HTTPServerResponse& aResponse);
  ServerBehaviour CurrentBehaviour(TimePoint aNow) const;
  void CountRun(const std::string& aId);
  std::uint64_t CountArrival(const std::string& aId);

  std::string mName;
  mutable std::mutex mMutex;
  ServerBehaviour mBehaviour;
  TimePoint mSince;
  std::map<std::string, int> mRuns;
  std::function<void(const std::string&)> mOnArrival; // under mMutex
  std::uint64_t mArrivals = 0;                        // under mMutex
  std::atomic<std::uint64_t> mTotalRuns{ 0 };
  std::atomic<int> mInFlight{ 0 };
  std::unique_ptr<HttpStandIn> mServer;
};

// The response body of server aServer for a request.
std::string
EchoOf(const std::string& aServer,
       const std::string& aId,
       const std::string& aBody);

} // namespace porttiller::standin
