// Sends requests to a fleet, usually during a fault, and checks the guarantees
// that callers have.
#pragma once

#include "fleet/Fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace porttiller::fleet {

struct TrafficOptions
{
  std::string mMethod = "POST"; // only GET is repeatable
  std::string mTarget = "/purchases";
  int mRequests = 60;
  int mThreads = 12;
  std::vector<int> mEntries = { 0 }; // boxes, used round-robin
  Millis mDeadline{ 1000 };
  Millis mGap{ 5 }; // between the requests of one thread
  std::string mIdPrefix = "r";
};

struct RequestRecord
{
  std::string mId;
  std::string mBody;
  Reply mReply;
};

// Numbers of records by outcome, and a line for each violated guarantee.
struct TrafficSummary
{
  int mRun = 0;
  int mNotRun = 0;
  int mUnknown = 0;
  int mNoAnswer = 0;
  std::vector<std::string> mViolations;
};

// Counts requests from any thread.
struct ServedCount
{
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };

  double Share() const
  {
    return mSent == 0 ? 1.0 : static_cast<double>(mServed) / mSent;
  }
};

// Sends all requests and waits until each has been answered or has timed out.
std::vector<RequestRecord>
SendTraffic(Fleet& aFleet, const TrafficOptions& aOptions);

// Compares the answers with the requests that the servers ran. An answer must
// be complete and belong to its request. A request reported as not-run must
// never have run. A request that is not repeatable must run at most once, and
// exactly once if it is reported as run.
TrafficSummary
CheckTraffic(const Fleet& aFleet,
             const std::vector<RequestRecord>& aRecords,
             const TrafficOptions& aOptions);

// Formats the counts as "run=58 not-run=2 ...", followed by the violations.
std::string
ToText(const TrafficSummary& aSummary);

} // namespace porttiller::fleet
