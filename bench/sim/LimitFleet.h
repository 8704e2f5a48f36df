// A fleet of entries that keep workspaces' limits together, as discrete events:
// the same LimitGate, UseReporter and UsageCollector that the daemons run, with
// messages that take time and get lost, cuts, kills, and an oracle that sees
// every request.
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

// How entries settle what may pass.
enum class LimitWay
{
  kCollected, // counts to collectors, who grant shares: what daemons do
  kParts,     // each entry a fixed part
  kAsked      // each request is put to the first collector of zone 0
};

struct LimitFleetOptions
{
  int mBoxes = 93;
  int mZones = 3;
  std::vector<SimWorkspace> mWorkspaces;
  Micros mLength{ 30'000'000 };
  // While workspaces with a mHotFactor send more.
  Micros mHotFrom{ 10'000'000 };
  Micros mHotUntil{ 16'000'000 };
  // One way, from one box to another; drawn up to twice as long.
  Micros mDelay{ 5'000 };
  LimitWay mWay = LimitWay::kCollected;
  std::uint64_t mSeed = 1;
};

// What a workspace got.
struct WorkspaceOutcome
{
  int mOffered = 0;
  int mAdmitted = 0;
  // Refused although a bucket that sees all requests had room.
  int mRefusedBelow = 0;
  int mRefusedInTouch = 0; // at boxes that get what others send
  // The most in any window, as a part of what is allowed there.
  double mWorstWindow = 0.0;
};

struct LimitOutcome
{
  std::vector<WorkspaceOutcome> mWorkspaces;
  double mMessagesPerBoxSecond = 0.0;
  double mItemsPerBoxSecond = 0.0; // counts and grants in them
  double mMessagesOfBusiest = 0.0; // a second, sent and received
  double mAskedShare = 0.0;        // requests that waited for an answer
};

class LimitFleet
{
public:
  explicit LimitFleet(LimitFleetOptions aOptions);

  // Faults, to be set before Run. A box that is cut reaches no other; its
  // callers go on. A killed one starts again with nothing after aDown.
  void Cut(int aBox, Micros aFrom, Micros aUntil);
  // What others send to the box is lost; what it sends arrives.
  void Deafen(int aBox, Micros aFrom, Micros aUntil);
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
    WorkspaceGrants mTold;
    std::map<int, TimePoint> mReporters;
    bool mCut = false;
    bool mDeaf = false;
    bool mDown = false;
    bool mReportsNow = false;
    int mLife = 0;
    std::uint64_t mMessages = 0;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mDo;

    friend bool operator>(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aLeft.mAt, aLeft.mOrder) >
             std::tie(aRight.mAt, aRight.mOrder);
    }
  };

  void At(TimePoint aTime, std::function<void()> aDo);
  void Send(int aFrom, int aTo, std::size_t aItems, std::function<void()> aDo);
  void Start(int aBox);
  void Tick(int aBox, int aLife);
  void Report(int aBox);
  void Collect(int aBox);
  void Arrive(std::size_t aWorkspace);
  void Offer(std::size_t aWorkspace, int aBox);
  void Judge(std::size_t aWorkspace, bool aAdmitted);
  std::vector<int> CollectorsOf(int aZone, int aAsker) const;
  std::optional<RequestLimit> LimitOf(const WorkspaceName& aName) const;
  // Boxes that aBox can reach, of all.
  double LiveShare(int aBox) const;
  double Uniform();

  LimitFleetOptions mOptions;
  std::mt19937_64 mRandom;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow;
  std::vector<Box> mBoxes;
  std::vector<SimWorkspace> mWorkspaces;
  std::vector<std::deque<TimePoint>> mWindows; // admitted, by workspace
  // The highest limit in force within the last window; as the users count.
  std::vector<std::deque<std::pair<TimePoint, RequestLimit>>> mLimits;
  std::vector<std::pair<double, TimePoint>> mBuckets; // of the oracle
  LimitOutcome mOutcome;
  std::uint64_t mMessages = 0;
  std::uint64_t mItems = 0;
  std::uint64_t mAsked = 0;
  std::uint64_t mOffers = 0;
};

} // namespace porttiller::bench
