// Replays the load that AttemptPlan and EntryWait are made for: 38 servers,
// three in ten of which are in an episode at any moment, while requests need
// nearly all slots.
#include "porttiller/policy/AttemptPlan.h"
#include "porttiller/policy/EntryWait.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace porttiller;

namespace {

constexpr int kServers = 38;
constexpr int kRequests = 2000;
constexpr Millis kHop{ 3 };
constexpr Millis kTarget{ 4000 };
constexpr Millis kBetweenRequests{ 30 };
constexpr Millis kMark{ 4000 }; // an entry takes a server for demoted
constexpr Millis kEpisodeEvery{ 9000 };
constexpr Millis kEpisode{ 2700 };
constexpr Millis kSlotEvery{ 110 }; // a busy server frees one
constexpr Millis kSlotTaken{ 100 }; // then another request takes it
constexpr int kLostPercent = 85;    // of the requests to a demoted server

const TimePoint kStart{ Millis(100'000) };
const RetrySource kAlways = [] { return true; };

struct Totals
{
  int mServed = 0;
  int mLost = 0;
  int mRejected = 0;
  int mHops = 0;
};

class Replay
{
public:
  explicit Replay(bool aIsLong)
    : mIsLong(aIsLong)
    , mMarkedUntil(kServers)
  {
    for (int i = 0; i < kServers; ++i) {
      mNames.emplace_back("server-" + std::to_string(i));
      mEpisodeOffset.emplace_back(Draw(kEpisodeEvery.count()));
      mSlotOffset.emplace_back(Draw(kSlotEvery.count()));
    }
  }

  Totals Run()
  {
    for (int i = 0; i < kRequests; ++i) {
      RunRequest(kStart + kBetweenRequests * i);
    }
    return mTotals;
  }

private:
  Millis::rep Draw(Millis::rep aBelow)
  {
    return static_cast<Millis::rep>(mRandom() %
                                    static_cast<std::uint64_t>(aBelow));
  }

  bool InEpisode(int aServer) const
  {
    return (mNow + mEpisodeOffset[aServer]).time_since_epoch() % kEpisodeEvery <
           kEpisode;
  }

  bool HasSlot(int aServer) const
  {
    return (mNow + mSlotOffset[aServer]).time_since_epoch() % kSlotEvery >=
           kSlotTaken;
  }

  // As EntryView::Choose: servers not known as demoted first. -1: none is left.
  int Choose(const AttemptPlan& aPlan)
  {
    std::vector<int> open;
    std::vector<int> marked;
    for (int i = 0; i < kServers; ++i) {
      if (aPlan.MayUse(mNames[i])) {
        (mNow < mMarkedUntil[i] ? marked : open).push_back(i);
      }
    }
    // None of the servers is only silent.
    const bool avoidsMarked = aPlan.AsksDemoted() || aPlan.PrefersSilent();
    if ((aPlan.LastResort() || aPlan.AsksDemoted()) &&
        (open.empty() || !avoidsMarked)) {
      open.insert(open.end(), marked.begin(), marked.end());
    }
    return open.empty() ? -1
                        : open[Draw(static_cast<Millis::rep>(open.size()))];
  }

  void Ask(AttemptPlan& aPlan, int aServer)
  {
    mNow += kHop;
    ++mTotals.mHops;
    aPlan.OnSent(mNames[aServer]);
    if (InEpisode(aServer)) {
      mMarkedUntil[aServer] = mNow + kMark;
      if (!aPlan.LastResort()) {
        aPlan.OnNotRun(mNames[aServer], NotRunReason::kDemoted, kAlways);
        return;
      }
      if (Draw(100) < kLostPercent) {
        ++mTotals.mLost;
        aPlan.OnUnknown(kAlways);
        return;
      }
    } else if (!HasSlot(aServer)) {
      mMarkedUntil[aServer] = {};
      aPlan.OnNotRun(mNames[aServer], NotRunReason::kNoCapacity, kAlways);
      return;
    }
    ++mTotals.mServed;
    aPlan.OnAnswered(false, kAlways);
  }

  void RunRequest(TimePoint aArrival)
  {
    mNow = aArrival;
    AttemptPlan plan(false,
                     { .mMaxAttempts = mIsLong ? 16 : 12,
                       .mIsLong = mIsLong,
                       .mRepeatsRounds = mIsLong });
    EntryWait wait(aArrival, kTarget, aArrival + kTarget * 4);
    for (bool over = false; !over;) {
      while (plan.MayAttempt()) {
        const int server = Choose(plan);
        if (server >= 0) {
          Ask(plan, server);
        } else if (!plan.AllowMore(true)) {
          break;
        }
      }
      over = !plan.MayRepeatRound();
      if (const auto until = over ? std::nullopt : wait.Next(mNow)) {
        mNow = *until;
        plan.StartRound();
      } else if (!over) {
        plan.EndRounds();
      }
    }
    CHECK(mNow <= aArrival + kTarget / 10 + kHop * 20);
    mTotals.mRejected +=
      plan.MayHaveReachedServer() ? 0 : 1; // its caller has a 503
  }

  const bool mIsLong;
  std::mt19937_64 mRandom{ 1 };
  TimePoint mNow = kStart;
  std::vector<BackendServerName> mNames;
  std::vector<Millis> mEpisodeOffset;
  std::vector<Millis> mSlotOffset;
  std::vector<TimePoint> mMarkedUntil;
  Totals mTotals;
};

} // namespace

TEST_CASE("Under hard load fewer long requests are lost to the last resort")
{
  const auto before = Replay(false).Run();
  const auto after = Replay(true).Run();
  MESSAGE("served ",
          before.mServed,
          " before, ",
          after.mServed,
          " after; lost ",
          before.mLost,
          ", ",
          after.mLost,
          "; rejected ",
          before.mRejected,
          ", ",
          after.mRejected,
          "; hops ",
          before.mHops,
          ", ",
          after.mHops);
  CHECK(after.mServed > before.mServed);
  CHECK(after.mLost * 2 < before.mLost);
  CHECK(after.mServed + after.mLost + after.mRejected == kRequests);
}
