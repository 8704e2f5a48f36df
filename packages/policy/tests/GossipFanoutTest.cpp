#include "porttiller/policy/GossipFanout.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace porttiller;

namespace {

constexpr std::size_t kZones = 4;
constexpr std::size_t kBoxesInZone = 48;

std::vector<AvailabilityZone>
ZonesOfBoxes()
{
  std::vector<AvailabilityZone> zones;
  zones.reserve(kZones * kBoxesInZone);
  for (std::size_t i = 0; i < kZones * kBoxesInZone; ++i) {
    zones.emplace_back("zone-" + std::to_string(i % kZones));
  }
  return zones;
}

} // namespace

TEST_CASE("Each zone gets its number of copies, and no box gets two")
{
  const auto zones = ZonesOfBoxes();
  const auto own = zones.front();
  const auto receivers =
    ChooseReceivers(zones, own, { .mOwnZone = 3, .mPerOtherZone = 2 }, 7);
  CHECK(receivers.size() == 3 + 2 * (kZones - 1));
  CHECK(std::set(receivers.begin(), receivers.end()).size() ==
        receivers.size());
  CHECK(std::count_if(receivers.begin(), receivers.end(), [&](auto aIndex) {
          return zones[aIndex] == own;
        }) == 3);
}

TEST_CASE(
  "An update reaches nearly every box, and few copies cross zone boundaries")
{
  // One box sends to all zones; each box that receives the update for the first
  // time forwards it within its zone.
  const auto zones = ZonesOfBoxes();
  std::mt19937_64 generator(11);
  std::set<std::size_t> informed{ 0 };
  std::vector<std::size_t> pending = ChooseReceivers(
    zones, zones[0], { .mOwnZone = 3, .mPerOtherZone = 2 }, generator());
  std::size_t crossing = 0;
  for (const auto index : pending) {
    crossing += zones[index] == zones[0] ? 0 : 1;
  }
  while (!pending.empty()) {
    const auto box = pending.back();
    pending.pop_back();
    if (!informed.insert(box).second) {
      continue;
    }
    const auto further =
      ChooseReceivers(zones, zones[box], { .mOwnZone = 3 }, generator());
    pending.insert(pending.end(), further.begin(), further.end());
  }
  CHECK(crossing == 2 * (kZones - 1));
  CHECK(informed.size() > zones.size() * 9 / 10);
}
