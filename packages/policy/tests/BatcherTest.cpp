#include "porttiller/policy/Batcher.h"

#include "porttiller/policy/Spread.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <queue>
#include <random>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(1000) };

} // namespace

TEST_CASE("A change after a rest passes at once, those behind it together")
{
  Batcher batcher({ .mGap = Millis(200) });
  CHECK(batcher.OnChange(kStart) == Millis(0));
  batcher.OnBatch(kStart);
  CHECK(batcher.OnChange(kStart + Millis(50)) == Millis(150));
  CHECK_FALSE(batcher.OnChange(kStart + Millis(60)).has_value());
  batcher.OnBatch(kStart + Millis(200));
  CHECK(batcher.OnChange(kStart + Millis(900)) == Millis(0));
}

TEST_CASE("Batches that take long leave nine tenths of the time to others")
{
  constexpr Millis kCost{ 60 };
  constexpr Millis kChangeEvery{ 5 };
  constexpr Millis kLength{ 20'000 };
  Batcher batcher;
  Millis inBatches{ 0 };
  TimePoint due;
  bool planned = false;
  for (auto now = kStart; now < kStart + kLength; now += kChangeEvery) {
    if (const auto delay = batcher.OnChange(now)) {
      due = now + *delay;
      planned = true;
    }
    if (planned && now >= due) {
      planned = false;
      batcher.OnBatch(now);
      batcher.OnBatchDone(now + kCost);
      inBatches += kCost;
    }
  }
  CHECK(inBatches <= kLength / 10 + kCost);
}

TEST_CASE("However long batches take, the next one comes within a second")
{
  Batcher batcher;
  CHECK(batcher.OnChange(kStart) == Millis(0));
  batcher.OnBatch(kStart);
  batcher.OnBatchDone(kStart + Millis(400));
  CHECK(batcher.OnChange(kStart + Millis(401)) == Millis(599));
  // Cheap ones come as often as before.
  batcher.OnBatch(kStart + Millis(1000));
  batcher.OnBatchDone(kStart + Millis(1003));
  CHECK(batcher.OnChange(kStart + Millis(1003)) == Millis(197));
}

namespace {

constexpr int kZones = 5;
constexpr int kTripMs = 3;
constexpr int kStartSpreadMs = 3000; // boxes become known over this time

struct StartCounts
{
  double mMessages = 0.0; // that a box sends, mean
  double mRebuilds = 0.0; // of its view, mean
  double mKnown = 0.0;    // share of the records that a box holds, mean
};

// All boxes of a fleet start; each has one record and tells it onwards.
// Batched with aGap, or one by one when it is zero.
class StartOfAll
{
public:
  StartOfAll(int aBoxes, Millis aGap)
    : mBoxes(aBoxes)
    , mGap(aGap)
    , mRandom(7)
  {
    for (int i = 0; i < aBoxes; ++i) {
      mZones.emplace_back("zone-" + std::to_string(i % kZones));
      mNodes.push_back({ .mBatcher = Batcher({ .mGap = aGap }) });
      mNodes.back().mHeld.resize(static_cast<std::size_t>(aBoxes));
      At(static_cast<int>(mRandom() % kStartSpreadMs), i, { i }, true);
    }
  }

  StartCounts Run()
  {
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNowMs = event.mAtMs;
      if (event.mRecords.empty()) {
        PassOn(event.mBox);
      } else {
        Take(event);
      }
    }
    StartCounts counts;
    for (const auto& node : mNodes) {
      const auto held = std::count(node.mHeld.begin(), node.mHeld.end(), true);
      counts.mKnown += static_cast<double>(held) / mBoxes / mBoxes;
      counts.mMessages += static_cast<double>(node.mSent) / mBoxes;
      counts.mRebuilds += static_cast<double>(node.mRebuilds) / mBoxes;
    }
    return counts;
  }

private:
  struct Node
  {
    Batcher mBatcher;
    std::vector<bool> mHeld;
    std::vector<int> mOnwards;
    int mSent = 0;
    int mRebuilds = 0;
  };

  struct Event
  {
    int mAtMs = 0;
    int mOrder = 0;
    int mBox = 0;
    std::vector<int> mRecords; // none: the box's batch is due
    bool mOwn = false;

    bool operator<(const Event& aOther) const
    {
      return std::pair(mAtMs, mOrder) > std::pair(aOther.mAtMs, aOther.mOrder);
    }
  };

  TimePoint Time() const { return kStart + Millis(mNowMs); }

  void At(int aMs, int aBox, std::vector<int> aRecords, bool aOwn = false)
  {
    mEvents.push({ aMs, mOrder++, aBox, std::move(aRecords), aOwn });
  }

  void Tell(int aFrom, const std::vector<int>& aRecords, SpreadOptions aSpread)
  {
    const auto& zone = mZones[static_cast<std::size_t>(aFrom)];
    for (const auto to : ChooseReceivers(mZones, zone, aSpread, mRandom())) {
      ++mNodes[static_cast<std::size_t>(aFrom)].mSent;
      At(mNowMs + kTripMs, static_cast<int>(to), aRecords);
    }
  }

  void Take(const Event& aEvent)
  {
    auto& node = mNodes[static_cast<std::size_t>(aEvent.mBox)];
    bool news = false;
    for (const auto record : aEvent.mRecords) {
      if (!node.mHeld[static_cast<std::size_t>(record)]) {
        node.mHeld[static_cast<std::size_t>(record)] = true;
        news = true;
        if (!aEvent.mOwn) {
          node.mOnwards.push_back(record);
        }
      }
    }
    if (aEvent.mOwn) {
      Tell(aEvent.mBox, aEvent.mRecords, { .mOwnZone = 3, .mPerOtherZone = 2 });
    }
    if (!news) {
      return;
    }
    if (mGap == Millis(0)) {
      PassOn(aEvent.mBox);
    } else if (const auto delay = node.mBatcher.OnChange(Time())) {
      At(mNowMs + static_cast<int>(delay->count()), aEvent.mBox, {});
    }
  }

  void PassOn(int aBox)
  {
    auto& node = mNodes[static_cast<std::size_t>(aBox)];
    node.mBatcher.OnBatch(Time());
    ++node.mRebuilds;
    if (!node.mOnwards.empty()) {
      Tell(aBox, std::exchange(node.mOnwards, {}), { .mOwnZone = 3 });
    }
  }

  const int mBoxes;
  const Millis mGap;
  std::mt19937_64 mRandom;
  std::vector<AvailabilityZone> mZones;
  std::vector<Node> mNodes;
  std::priority_queue<Event> mEvents;
  int mOrder = 0;
  int mNowMs = 0;
};

} // namespace

TEST_CASE("A start of hundreds of boxes costs each a bounded number of "
          "messages and rebuilds")
{
  for (const int boxes : { 300, 600 }) {
    CAPTURE(boxes);
    const auto batched = StartOfAll(boxes, BatcherOptions{}.mGap).Run();
    // Three seconds hold 15 gaps; the last records need a few more.
    CHECK(batched.mRebuilds <= 25);
    CHECK(batched.mMessages <= 100);
    CHECK(batched.mKnown >= 0.9); // digests find the rest
  }
}

TEST_CASE("One by one, the same start costs each box a share of the fleet")
{
  const auto single = StartOfAll(300, Millis(0)).Run();
  CHECK(single.mRebuilds >= 250);
  CHECK(single.mMessages >= 750);
}
