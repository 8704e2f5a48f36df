// Discrete-event simulation of a fleet under requests that crash each backend
// server that runs them. Runs the CrashTable of the daemons in each box, with
// message delays and losses and with restarted boxes.
#pragma once

#include "porttiller/policy/CrashTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace porttiller::bench {

// What boxes tell each other about crashes.
enum class CrashScheme
{
  kNone,  // nothing is kept
  kAlone, // each box keeps what it saw itself
  kJoined // as the daemons
};

struct CrashFleetOptions
{
  int mBoxes = 93; // each with one server
  int mZones = 3;
  CrashScheme mScheme = CrashScheme::kJoined;
  CrashTableOptions mTable;
  int mCrashing = 1;           // different requests that crash servers
  double mArrivalsPerS = 2.0;  // of each of them, at random boxes
  int mMaxServers = 2;         // that one arrival may reach
  int mMaxCrashesForRetry = 2; // from this many on, no retry
  double mPopularPerS = 2.0;   // runs of one popular request, at each server
  double mLoss = 0.02;         // of messages between boxes
  int mRestartEvery = 0;       // every nth box forgets all halfway; 0: none
  Micros mLength{ 30'000'000 };
  std::uint64_t mSeed = 1;
};

struct CrashOutcome
{
  int mServersLost = 0;
  int mMostLostToOne = 0; // of the crashing requests
  int mMostLate = 0;      // arrivals of one at servers, after the users' bound
  // From the third crash until the last box rejects, of the slowest request;
  // negative: some box never did.
  double mAllKnowS = -1.0;
  double mBytesPerBoxSecond = 0.0;
  double mBytesOfBusiest = 0.0; // a second
  std::size_t mMostRecords = 0; // that one box held at the end
  double mPopularRejectedShare = 0.0;
};

class CrashFleet
{
public:
  explicit CrashFleet(CrashFleetOptions aOptions);

  CrashOutcome Run();

private:
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.mAt, aOther.mOrder) < std::pair(mAt, mOrder);
    }
  };

  struct Box
  {
    std::optional<CrashTable> mTable; // always set; replaced at a restart
    std::set<RequestDigest> mChanged;
    TimePoint mUpAt; // its server runs from then on
    double mBytes = 0.0;
  };

  struct Crashing
  {
    RequestDigest mDigest;
    std::vector<TimePoint> mCrashes;
    int mLate = 0;
    TimePoint mAllKnowAt;
  };

  void At(TimePoint aTime, std::function<void()> aAction);
  double Draw() { return std::uniform_real_distribution<>(0, 1)(mRandom); }
  int DrawBox() { return static_cast<int>(mRandom() % mBoxes.size()); }
  std::vector<int> SpreadPeers(int aFrom);
  void Send(int aFrom, int aTo, std::vector<CrashRecord> aRecords);
  void Merge(int aBox, const CrashRecord& aRecord);
  void Arrive(std::size_t aRequest);
  void Attempt(std::size_t aRequest, int aEntry, int aReached);
  void Crash(std::size_t aRequest, int aHome, bool aAfterCrash, int aEntry);
  void Report(int aHome, const CrashRecord& aRecord);
  void RunPopular();
  void SpreadAll();
  void ProbeAll();
  void NoteWhoKnows();

  const CrashFleetOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ Millis(1'000'000) };
  TimePoint mStart = mNow;
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<Box> mBoxes;
  std::vector<Crashing> mCrashing;
  const RequestDigest mPopular{ 1, 0 };
  double mPopularSent = 0.0;
  double mPopularRejected = 0.0;
  int mLost = 0;
};

} // namespace porttiller::bench
