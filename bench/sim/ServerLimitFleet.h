// Simulation of a fleet whose backend servers name limits of requests per
// second. Runs the RequestPacer and TurnInterval of the daemons at each home,
// and their choice of open servers at each entry.
#pragma once

#include "porttiller/policy/RecentCount.h"
#include "porttiller/policy/RequestPacer.h"
#include "porttiller/policy/TurnInterval.h"

#include <cstdint>
#include <random>
#include <vector>

namespace porttiller::bench {

// Who keeps the limits.
enum class LimitScheme
{
  kIgnored,   // nobody
  kHomeAlone, // homes reject; entries learn nothing from it
  kShared     // as the daemons
};

struct ServerLimitOptions
{
  int mBoxes = 93; // each with one server of the same service
  LimitScheme mScheme = LimitScheme::kShared;
  double mRequestsPerS = 10.0; // of each box
  int mSubset = 16;            // servers that an entry uses
  double mLimitedShare = 0.33; // of the servers
  double mMinLimit = 0.5;      // requests per second, drawn uniformly
  double mMaxLimit = 4.0;
  Micros mLength{ 40'000'000 };
  Micros mLimitedFrom{ 10'000'000 };
  std::uint64_t mSeed = 1;
};

struct ServerLimitOutcome
{
  // Most requests in 4 s over what the limit allows in 4 s, of the worst server
  // and in the mean of all limited ones; 1: just the limit.
  double mWorstOverLimit = 0.0;
  double mMeanOverLimit = 0.0;
  double mUsedShare = 0.0;         // of all that limited servers allow
  double mRejectedHops = 0.0;      // for each request
  double mNotServed = 0.0;         // share of the requests
  double mBytesPerBoxSecond = 0.0; // added to requests, answers and messages
};

class ServerLimitFleet
{
public:
  explicit ServerLimitFleet(ServerLimitOptions aOptions);

  ServerLimitOutcome Run();

private:
  struct Server
  {
    double mLimit = 0.0; // 0: none
    RequestPacer mPacer;
    TurnInterval mInterval;
    RecentCount mRecent;
    int mWorst = 0;
    int mSent = 0; // while limited
  };

  // What an entry knows of one server of its subset.
  struct View
  {
    std::size_t mServer = 0;
    bool mLimited = false;
    TimePoint mNextTurn;
  };

  struct Entry
  {
    std::vector<View> mViews;
  };

  void NameLimits(TimePoint aNow);
  void Serve(Entry& aEntry, TimePoint aNow);
  View* Choose(Entry& aEntry,
               const std::vector<const View*>& aTried,
               bool aLastResort,
               TimePoint aNow);
  bool Send(View& aView, bool aLastResort, TimePoint aNow);
  TimePoint TurnAfter(const Server& aServer, TimePoint aNow);

  const ServerLimitOptions mOptions;
  std::mt19937_64 mRandom;
  std::vector<Server> mServers;
  std::vector<Entry> mEntries;
  bool mNamed = false;
  std::uint64_t mRequests = 0; // while servers are limited
  std::uint64_t mRejected = 0;
  std::uint64_t mNotServed = 0;
  std::uint64_t mBytes = 0;
};

} // namespace porttiller::bench
