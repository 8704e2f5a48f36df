#include "porttiller/policy/Subset.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <iterator>
#include <map>
#include <set>
#include <string>

using namespace porttiller;

namespace {

struct Fleet
{
  std::vector<std::string> mEntries; // named "zone/entry"
  std::vector<std::string> mServers; // named "zone/server"
};

std::string
ZoneOf(const std::string& aName)
{
  return aName.substr(0, aName.find('/'));
}

std::vector<std::string>
MakeNames(int aCount, int aZones, const std::string& aKind)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    names.push_back("z" + std::to_string(i % aZones) + "/" + aKind +
                    std::to_string(i));
  }
  return names;
}

SubsetEntry
SubsetEntryOf(const std::string& aEntry,
              const std::vector<std::string>& aEntries)
{
  SubsetEntry entry{ .mEntries = 0 };
  for (const auto& other : aEntries) {
    if (ZoneOf(other) == ZoneOf(aEntry)) {
      ++entry.mEntries;
      entry.mRank += RingPosition(other) < RingPosition(aEntry) ? 1 : 0;
    }
  }
  return entry;
}

// The servers in the subset of an entry.
std::set<std::string>
SubsetOf(const std::string& aEntry, const Fleet& aFleet)
{
  std::vector<SubsetServer> servers;
  servers.reserve(aFleet.mServers.size());
  for (const auto& server : aFleet.mServers) {
    servers.push_back({ .mPlace = RingPosition(server),
                        .mSameZone = ZoneOf(server) == ZoneOf(aEntry) });
  }
  const auto subset =
    ChooseSubset(servers, SubsetEntryOf(aEntry, aFleet.mEntries));
  REQUIRE(subset.mOrder.size() == servers.size());
  std::set<std::string> names;
  for (std::size_t i = 0; i < subset.mSize; ++i) {
    names.insert(aFleet.mServers[subset.mOrder[i]]);
  }
  return names;
}

std::map<std::string, int>
UsesOf(const Fleet& aFleet)
{
  std::map<std::string, int> uses;
  for (const auto& entry : aFleet.mEntries) {
    for (const auto& server : SubsetOf(entry, aFleet)) {
      ++uses[server];
    }
  }
  return uses;
}

} // namespace

TEST_CASE("Servers are in nearly equal numbers of subsets")
{
  const Fleet fleet{ MakeNames(350, 5, "e"), MakeNames(250, 5, "s") };
  const auto uses = UsesOf(fleet);
  CHECK(uses.size() == fleet.mServers.size());
  const auto [least, most] = std::minmax_element(
    uses.begin(), uses.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  // From its own zone: 70 entries x 12 servers / 50 servers = 16 or 17 uses.
  // From each of 4 other zones: 70 entries x 8 / 200 servers = 2 or 3 uses.
  CHECK(least->second >= 24);
  CHECK(most->second <= 29);
}

TEST_CASE("Two entries share no server of a large service, and 200 entries use "
          "all of a small one")
{
  const Fleet few{ MakeNames(2, 1, "e"), MakeNames(200, 1, "s") };
  CHECK(UsesOf(few).size() == 40);
  const Fleet many{ MakeNames(200, 5, "e"), MakeNames(2, 1, "s") };
  for (const auto& [server, uses] : UsesOf(many)) {
    CHECK(uses == 200);
  }
}

TEST_CASE("A service in only one zone fills the whole subset")
{
  const Fleet fleet{ { "z0/e0" }, MakeNames(100, 1, "s") };
  CHECK(SubsetOf("z0/e0", fleet).size() == 20);
  const Fleet away{ { "z1/e0" }, MakeNames(100, 1, "s") };
  CHECK(SubsetOf("z1/e0", away).size() == 20);
}

TEST_CASE(
  "Adding a server or removing an entry changes few members of a subset")
{
  const Fleet fleet{ MakeNames(350, 5, "e"), MakeNames(250, 5, "s") };
  auto more = fleet;
  more.mServers.push_back("z0/s-new");
  auto less = fleet;
  less.mEntries.erase(less.mEntries.begin() + 7);
  for (const auto& entry : { fleet.mEntries[0], fleet.mEntries[101] }) {
    const auto before = SubsetOf(entry, fleet);
    for (const auto& changed : { more, less }) {
      const auto after = SubsetOf(entry, changed);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(),
                            before.end(),
                            after.begin(),
                            after.end(),
                            std::back_inserter(kept));
      CHECK(kept.size() + 3 >= before.size());
    }
  }
}

TEST_CASE("The order lists every server once, also beyond the subset")
{
  std::vector<SubsetServer> servers;
  for (std::uint64_t i = 0; i < 90; ++i) {
    servers.push_back({ .mPlace = i * 7919 % 97, .mSameZone = i % 4 == 0 });
  }
  const auto subset = ChooseSubset(servers, { .mRank = 11, .mEntries = 12 });
  CHECK(subset.mSize == 20);
  const std::set<std::size_t> all(subset.mOrder.begin(), subset.mOrder.end());
  CHECK(all.size() == servers.size());
}
