#include "porttiller/policy/Batcher.h"

#include "porttiller/policy/GossipOverlay.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <queue>
#include <random>
#include <utility>

using namespace porttiller;

namespace {

const TimePoint kStart{ Millis(1000) };

} // namespace

TEST_CASE("A change after an idle period is processed at once, the next ones "
          "as a batch")
{
  Batcher batcher({ .mMinInterval = Millis(200) });
  CHECK(batcher.OnChange(kStart) == Millis(0));
  batcher.OnBatch(kStart);
  CHECK(batcher.OnChange(kStart + Millis(50)) == Millis(150));
  CHECK_FALSE(batcher.OnChange(kStart + Millis(60)).has_value());
  batcher.OnBatch(kStart + Millis(200));
  CHECK(batcher.OnChange(kStart + Millis(900)) == Millis(0));
}

TEST_CASE("Slow batches leave nine tenths of the time to other work")
{
  constexpr Millis kBatchTime{ 60 };
  constexpr Millis kChangeInterval{ 5 };
  constexpr Millis kDuration{ 20'000 };
  Batcher batcher;
  Millis inBatches{ 0 };
  TimePoint due;
  bool scheduled = false;
  for (auto now = kStart; now < kStart + kDuration; now += kChangeInterval) {
    if (const auto delay = batcher.OnChange(now)) {
      due = now + *delay;
      scheduled = true;
    }
    if (scheduled && now >= due) {
      scheduled = false;
      batcher.OnBatch(now);
      batcher.OnBatchDone(now + kBatchTime);
      inBatches += kBatchTime;
    }
  }
  CHECK(inBatches <= kDuration / 10 + kBatchTime);
}

TEST_CASE("The next batch comes within a second, however slow batches are")
{
  Batcher batcher;
  CHECK(batcher.OnChange(kStart) == Millis(0));
  batcher.OnBatch(kStart);
  batcher.OnBatchDone(kStart + Millis(400));
  CHECK(batcher.OnChange(kStart + Millis(401)) == Millis(599));
  // Cheap batches are back at the minimum interval.
  batcher.OnBatch(kStart + Millis(1000));
  batcher.OnBatchDone(kStart + Millis(1003));
  CHECK(batcher.OnChange(kStart + Millis(1003)) == Millis(197));
}

namespace {

constexpr int kZones = 5;
constexpr int kHopMs = 3;
constexpr int kStartSpreadMs = 3000; // each box starts within it

struct FleetStartCounts
{
  double mMessages = 0.0;   // sent by a box, mean
  double mRebuilds = 0.0;   // of a box's view, mean
  double mKnownShare = 0.0; // share of the records that a box holds, mean
};

// A fleet in which all boxes start; each has one record and sends it to others.
// Changes are batched with aBatchInterval, or processed one by one if it is
// zero.
class FleetStartSimulation
{
public:
  FleetStartSimulation(int aBoxes, Millis aBatchInterval)
    : mBoxes(aBoxes)
    , mBatchInterval(aBatchInterval)
    , mRandom(7)
  {
    std::vector<OverlayBox> all;
    for (int i = 0; i < aBoxes; ++i) {
      const auto name = std::to_string(i);
      all.push_back(
        { .mName = BoxName(name),
          .mZone = AvailabilityZone("zone-" + std::to_string(i % kZones)) });
    }
    for (int i = 0; i < aBoxes; ++i) {
      const auto& box = all[static_cast<std::size_t>(i)];
      mNodes.push_back(
        { .mBatcher = Batcher({ .mMinInterval = aBatchInterval }),
          .mOverlay = GossipOverlay(box.mName, box.mZone) });
      mNodes.back().mOverlay.SetBoxes(all);
      mNodes.back().mKnownRecords.resize(static_cast<std::size_t>(aBoxes));
      Schedule(static_cast<int>(mRandom() % kStartSpreadMs), i, { i }, true);
    }
  }

  FleetStartCounts Run()
  {
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNowMs = event.mAtMs;
      if (event.mRecords.empty()) {
        FlushBatch(event.mBox);
      } else {
        Receive(event);
      }
    }
    FleetStartCounts counts;
    for (const auto& node : mNodes) {
      const auto held =
        std::count(node.mKnownRecords.begin(), node.mKnownRecords.end(), true);
      counts.mKnownShare += static_cast<double>(held) / mBoxes / mBoxes;
      counts.mMessages += static_cast<double>(node.mSent) / mBoxes;
      counts.mRebuilds += static_cast<double>(node.mRebuilds) / mBoxes;
    }
    return counts;
  }

private:
  struct Node
  {
    Batcher mBatcher;
    GossipOverlay mOverlay;
    std::vector<bool> mKnownRecords;
    std::vector<int> mToForward;
    int mSent = 0;
    int mRebuilds = 0;
  };

  struct Event
  {
    int mAtMs = 0;
    int mOrder = 0;
    int mBox = 0;
    std::vector<int> mRecords; // empty: the batch of the box is due
    bool mOwnRecord = false;

    bool operator<(const Event& aOther) const
    {
      return std::pair(mAtMs, mOrder) > std::pair(aOther.mAtMs, aOther.mOrder);
    }
  };

  TimePoint Time() const { return kStart + Millis(mNowMs); }

  void Schedule(int aMs,
                int aBox,
                std::vector<int> aRecords,
                bool aOwnRecord = false)
  {
    mEvents.push({ aMs, mOrder++, aBox, std::move(aRecords), aOwnRecord });
  }

  void Send(int aFrom, const std::vector<int>& aRecords, GossipFanout aFanout)
  {
    auto& node = mNodes[static_cast<std::size_t>(aFrom)];
    for (const auto& to : node.mOverlay.Receivers(aFanout, mRandom())) {
      ++node.mSent;
      Schedule(mNowMs + kHopMs, std::stoi(to.Value()), aRecords);
    }
  }

  void Receive(const Event& aEvent)
  {
    auto& node = mNodes[static_cast<std::size_t>(aEvent.mBox)];
    bool changed = false;
    for (const auto record : aEvent.mRecords) {
      if (!node.mKnownRecords[static_cast<std::size_t>(record)]) {
        node.mKnownRecords[static_cast<std::size_t>(record)] = true;
        changed = true;
        if (!aEvent.mOwnRecord) {
          node.mToForward.push_back(record);
        }
      }
    }
    if (aEvent.mOwnRecord) {
      Send(aEvent.mBox, aEvent.mRecords, { .mOwnZone = 3, .mPerOtherZone = 2 });
    }
    if (!changed) {
      return;
    }
    if (mBatchInterval == Millis(0)) {
      FlushBatch(aEvent.mBox);
    } else if (const auto delay = node.mBatcher.OnChange(Time())) {
      Schedule(mNowMs + static_cast<int>(delay->count()), aEvent.mBox, {});
    }
  }

  void FlushBatch(int aBox)
  {
    auto& node = mNodes[static_cast<std::size_t>(aBox)];
    node.mBatcher.OnBatch(Time());
    ++node.mRebuilds;
    if (!node.mToForward.empty()) {
      Send(aBox, std::exchange(node.mToForward, {}), { .mOwnZone = 3 });
    }
  }

  const int mBoxes;
  const Millis mBatchInterval;
  std::mt19937_64 mRandom;
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
    const auto batched =
      FleetStartSimulation(boxes, BatcherOptions{}.mMinInterval).Run();
    // Three seconds hold 15 intervals; the last records need a few more.
    CHECK(batched.mRebuilds <= 25);
    CHECK(batched.mMessages <= 100);
    CHECK(batched.mKnownShare == doctest::Approx(1.0));
  }
}

TEST_CASE("Without batches the same start costs each box a share of the fleet")
{
  const auto single = FleetStartSimulation(300, Millis(0)).Run();
  CHECK(single.mRebuilds >= 250);
  CHECK(single.mMessages >= 750);
}
