// Requests sent at a fleet while something fails, and the check of what every
// caller was promised.
#pragma once

#include "fleet/Fleet.h"

#include <mutex>
#include <string>
#include <vector>

namespace porttiller::fleet {

struct TrafficOptions
{
  std::string mMethod = "POST"; // not repeatable, unless GET
  std::string mTarget = "/purchases";
  int mRequests = 60;
  int mThreads = 12;
  std::vector<int> mEntries = { 0 }; // boxes, in turns
  Millis mDeadline{ 1000 };
  Millis mGap{ 5 }; // between the requests of one thread
  std::string mIdPrefix = "r";
};

struct Record
{
  std::string mId;
  std::string mBody;
  Reply mReply;
};

// Counts over all records; mBroken lists every broken promise.
struct Verdict
{
  int mRun = 0;
  int mNotRun = 0;
  int mUnknown = 0;
  int mNoAnswer = 0;
  std::vector<std::string> mBroken;
};

// Sends all requests and returns when each has its answer.
std::vector<Record>
SendTraffic(Fleet& aFleet, const TrafficOptions& aOptions);

// Checks, against what the servers saw: an answer is whole and the request's
// own; not-run means never run; one that is not repeatable ran at most once,
// and exactly once when its answer came.
Verdict
Judge(const Fleet& aFleet,
      const std::vector<Record>& aRecords,
      const TrafficOptions& aOptions);

// "run=58 not-run=2 ..." with the broken promises.
std::string
ToText(const Verdict& aVerdict);

} // namespace porttiller::fleet
