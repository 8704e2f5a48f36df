// Discrete-event simulation of a fleet of entries that enforce workspace rate
// limits together. Runs the LimitGate, UseReporter and UsageCollector of the
// daemons, with message delays and losses, network cuts and killed boxes. An
// oracle that sees every request checks the result.
#pragma once

#include "sim/SimWorkspace.h"

#include "porttiller/policy/LimitGate.h"
#include "porttiller/policy/UsageCollector.h"
#include "porttiller/policy/UseReporter.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace porttiller::bench {

// How entries decide which requests to admit.
enum class LimitScheme
{
  kCollected,   // as the daemons: collectors sum up usage and grant shares
  kFixedShares, // each entry admits a fixed share of the limit
  kCentral      // one central box, the first collector of zone 0, decides each
                // request
};

struct LimitFleetOptions
{
  int mBoxes = 93;
  int mZones = 3;
  std::vector<SimWorkspace> mWorkspaces;
  Micros mLength{ 30'000'000 };
  // The time in which workspaces send mHotFactor times their usual rate.
  Micros mHotFrom{ 10'000'000 };
  Micros mHotUntil{ 16'000'000 };
  // Minimum one-way delay between boxes; each message takes one to two times as
  // long.
  Micros mDelay{ 5'000 };
  LimitScheme mScheme = LimitScheme::kCollected;
  std::uint64_t mSeed = 1;
};

// The outcome for one workspace.
struct WorkspaceOutcome
{
  int mOffered = 0;
  int mAdmitted = 0;
  // Rejected although the oracle's token bucket had a token.
  int mRejectedBelowLimit = 0;
  int mRejectedConnected = 0; // rejected at boxes with a working network
  // The highest use of any window, as a share of what the limit allows there.
  double mWorstWindow = 0.0;
};

struct LimitOutcome
{
  std::vector<WorkspaceOutcome> mWorkspaces;
  double mMessagesPerBoxSecond = 0.0;
  double mItemsPerBoxSecond = 0.0; // usage counts and grants in the messages
  // Messages a second of the busiest box, sent and received.
  double mMessagesOfBusiest = 0.0;
  double mCentralShare = 0.0; // share of requests that the central box decided
};

class LimitFleet
{
public:
  explicit LimitFleet(LimitFleetOptions aOptions);

  // Schedules faults; call before Run. A cut box reaches no other box, while
  // its callers continue. A killed box restarts without its state after aDown.
  void Cut(int aBox, Micros aFrom, Micros aUntil);
  // Messages to the box are lost; messages from it arrive.
  void CutInbound(int aBox, Micros aFrom, Micros aUntil);
  void Kill(int aBox, Micros aAt, Micros aDown);
  void ChangeLimit(std::size_t aWorkspace, Micros aAt, RequestLimit aLimit);

  LimitOutcome Run();

private:
  struct Box
  {
    int mZone = 0;
    std::unique_ptr<LimitGate> mGate;
    std::unique_ptr<UseReporter> mReporter;
    std::unique_ptr<UsageCollector> mCollector;
    WorkspaceGrants mGrants;
    WorkspaceGrants mSentGrants; // last sent to the reporters
    std::map<int, TimePoint> mReporters;
    bool mCut = false;
    bool mInboundCut = false;
    bool mDown = false;
    bool mReportThisTick = false; // reports on every second tick
    int mIncarnation = 0;
    std::uint64_t mMessages = 0;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mTask;

    friend bool operator>(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aLeft.mAt, aLeft.mOrder) >
             std::tie(aRight.mAt, aRight.mOrder);
    }
  };

  void At(TimePoint aTime, std::function<void()> aTask);
  void Send(int aFrom,
            int aTo,
            std::size_t aItems,
            std::function<void()> aTask);
  void Start(int aBox);
  void Tick(int aBox, int aIncarnation);
  void Report(int aBox);
  void Collect(int aBox);
  void Arrive(std::size_t aWorkspace);
  void Offer(std::size_t aWorkspace, int aBox);
  void Judge(std::size_t aWorkspace, bool aAdmitted);
  std::vector<int> CollectorsOf(int aZone, int aAsker) const;
  std::optional<RequestLimit> LimitOf(const WorkspaceName& aName) const;
  // Share of all boxes that aBox can reach.
  double LiveShare(int aBox) const;
  double Uniform();

  LimitFleetOptions mOptions;
  std::mt19937_64 mRandom;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow;
  std::vector<Box> mBoxes;
  std::vector<SimWorkspace> mWorkspaces;
  std::vector<std::deque<TimePoint>> mWindows; // admission times, by workspace
  // The limits in force during the last window, with their start times; the
  // highest one counts.
  std::vector<std::deque<std::pair<TimePoint, RequestLimit>>> mLimits;
  // Token buckets of the oracle: tokens and the time of the last refill.
  std::vector<std::pair<double, TimePoint>> mBuckets;
  LimitOutcome mOutcome;
  std::uint64_t mMessages = 0;
  std::uint64_t mItems = 0;
  std::uint64_t mCentralRequests = 0;
  std::uint64_t mOffers = 0;
};

} // namespace porttiller::bench
