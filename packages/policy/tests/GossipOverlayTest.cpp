#include "porttiller/policy/GossipOverlay.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

using namespace porttiller;

namespace {

constexpr std::size_t kZones = 5;
constexpr GossipFanout kSourceFanout{ .mOwnZone = 3, .mPerOtherZone = 2 };
constexpr GossipFanout kForwardFanout{ .mOwnZone = 3 };

// One overlay per live box, as each box computes it.
class Fleet
{
public:
  explicit Fleet(std::size_t aBoxes)
  {
    for (std::size_t i = 0; i < aBoxes; ++i) {
      mBoxes.push_back(
        { .mName = BoxName("box-" + std::to_string(i)),
          .mZone = AvailabilityZone("zone-" + std::to_string(i % kZones)) });
    }
    for (const auto& box : mBoxes) {
      auto& overlay =
        mOverlays.emplace(box.mName, GossipOverlay(box.mName, box.mZone))
          .first->second;
      overlay.SetBoxes(mBoxes);
      mZones.emplace(box.mName, box.mZone);
    }
  }

  const std::vector<OverlayBox>& Boxes() const { return mBoxes; }
  const OverlayBox& First() const { return mBoxes.front(); }
  const AvailabilityZone& ZoneOf(const BoxName& aBox) const
  {
    return mZones.at(aBox);
  }
  std::vector<BoxName> Receivers(const BoxName& aBox,
                                 const GossipFanout& aFanout)
  {
    return mOverlays.at(aBox).Receivers(aFanout, mGenerator());
  }
  const std::map<BoxName, GossipOverlay>& Overlays() const { return mOverlays; }

private:
  std::vector<OverlayBox> mBoxes;
  std::map<BoxName, AvailabilityZone> mZones;
  std::map<BoxName, GossipOverlay> mOverlays;
  std::mt19937_64 mGenerator{ 11 };
};

struct Spreading
{
  std::size_t mInformed = 0;
  std::size_t mRounds = 0;
  std::size_t mCrossing = 0; // copies sent to another zone
};

// One box sends to all zones; each box that receives the update for the first
// time forwards it within its zone.
Spreading
SpreadFrom(Fleet& aFleet, const BoxName& aSource)
{
  Spreading spreading;
  std::set<BoxName> informed{ aSource };
  auto arriving = aFleet.Receivers(aSource, kSourceFanout);
  for (const auto& box : arriving) {
    const bool crosses = aFleet.ZoneOf(box) != aFleet.ZoneOf(aSource);
    spreading.mCrossing += crosses ? 1 : 0;
  }
  while (!arriving.empty()) {
    ++spreading.mRounds;
    std::vector<BoxName> next;
    for (const auto& box : arriving) {
      if (informed.insert(box).second) {
        const auto further = aFleet.Receivers(box, kForwardFanout);
        next.insert(next.end(), further.begin(), further.end());
      }
    }
    arriving = std::move(next);
  }
  spreading.mInformed = informed.size();
  return spreading;
}

std::size_t
MaxNeighbors(const Fleet& aFleet)
{
  std::size_t most = 0;
  for (const auto& [box, overlay] : aFleet.Overlays()) {
    most = std::max(most, overlay.Neighbors().size());
  }
  return most;
}

std::map<BoxName, std::size_t>
SendersOf(const Fleet& aFleet)
{
  std::map<BoxName, std::size_t> senders;
  for (const auto& [box, overlay] : aFleet.Overlays()) {
    for (const auto& neighbor : overlay.Neighbors()) {
      ++senders[neighbor];
    }
  }
  return senders;
}

} // namespace

TEST_CASE("Each zone gets its number of copies, and no box gets two")
{
  Fleet fleet(kZones * 48);
  const auto& own = fleet.First();
  const auto receivers = fleet.Receivers(own.mName, kSourceFanout);
  CHECK(receivers.size() == 3 + 2 * (kZones - 1));
  CHECK(std::set(receivers.begin(), receivers.end()).size() ==
        receivers.size());
  CHECK(
    std::count_if(receivers.begin(), receivers.end(), [&](const auto& aBox) {
      return fleet.ZoneOf(aBox) == own.mZone;
    }) == 3);
}

TEST_CASE("An update reaches every box, and few copies cross zone boundaries")
{
  for (const std::size_t boxes : { 125, 250, 500, 1000, 2000 }) {
    CAPTURE(boxes);
    Fleet fleet(boxes);
    for (std::size_t source = 0; source < boxes; source += boxes / 25) {
      const auto spreading = SpreadFrom(fleet, fleet.Boxes()[source].mName);
      CHECK(spreading.mInformed == boxes);
      CHECK(spreading.mCrossing == 2 * (kZones - 1));
      const auto zoneBoxes = static_cast<double>(boxes) / kZones;
      CHECK(static_cast<double>(spreading.mRounds) <=
            2 * std::ceil(std::log2(zoneBoxes)));
    }
  }
}

TEST_CASE("However many messages a box sends, it has few receivers")
{
  for (const std::size_t boxes : { 125, 250, 500, 1000, 2000 }) {
    CAPTURE(boxes);
    Fleet fleet(boxes);
    std::set<BoxName> receivers;
    for (int message = 0; message < 10'000; ++message) {
      for (auto& box : fleet.Receivers(fleet.First().mName, kSourceFanout)) {
        receivers.insert(std::move(box));
      }
    }
    const auto zoneBoxes = static_cast<double>(boxes) / kZones;
    CHECK(static_cast<double>(receivers.size()) <=
          std::ceil(std::log2(zoneBoxes)) + 4 * (kZones - 1));
  }
}

TEST_CASE("A fleet of twice the size adds one receiver per box, and the boxes "
          "have about equally many senders")
{
  const Fleet thousand(1000);
  const Fleet twice(2000);
  CHECK(MaxNeighbors(twice) <= MaxNeighbors(thousand) + 1);
  for (const auto* fleet : { &thousand, &twice }) {
    const auto senders = SendersOf(*fleet);
    CHECK(senders.size() == fleet->Boxes().size());
    for (const auto& [box, count] : senders) {
      CHECK(count <= MaxNeighbors(*fleet) + kZones - 1);
    }
  }
}

TEST_CASE("A box that has left gets nothing, and the others still get all")
{
  constexpr std::size_t kBoxes = 300;
  const Fleet fleet(kBoxes);
  auto left = fleet.Boxes();
  const auto departed = left.front();
  left.erase(left.begin());
  std::set<BoxName> reachable;
  for (const auto& box : left) {
    GossipOverlay overlay(box.mName, box.mZone);
    overlay.SetBoxes(left);
    for (const auto& neighbor : overlay.Neighbors()) {
      reachable.insert(neighbor);
    }
  }
  CHECK(!reachable.contains(departed.mName));
  CHECK(reachable.size() == left.size());
}

TEST_CASE("A box that is alone sends to nobody")
{
  GossipOverlay overlay(BoxName("box-0"), AvailabilityZone("zone-0"));
  CHECK(overlay.Receivers(kSourceFanout, 1).empty());
  overlay.SetBoxes(
    { { .mName = BoxName("box-0"), .mZone = AvailabilityZone("zone-0") } });
  CHECK(overlay.Receivers(kSourceFanout, 1).empty());
}
