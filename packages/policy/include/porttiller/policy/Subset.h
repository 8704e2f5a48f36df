// Which servers of a service an entry works with first. Answers many entries
// with little traffic each before many servers: an entry with ten requests a
// second that chooses among 266 servers meets each once in half a minute, so it
// knows nothing of their load, hears of no spell, and opens a connection for
// nearly every request. Among 20 it meets each every two seconds.
#pragma once

#include "porttiller/core/Ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace porttiller {

struct SubsetOptions
{
  // Of the own availability zone, and of the others together. With fewer the
  // loss of a few leaves too little choice; with more each is met too seldom.
  std::size_t mOwnZone = 12;
  std::size_t mOtherZones = 8;
};

// A place on the ring on which entries and servers are spread.
std::uint64_t
RingPlace(std::string_view aName);

// One server as the choice sees it.
struct SubsetServer
{
  std::uint64_t mPlace = 0; // RingPlace of its name
  bool mSameZone = false;
};

// The entry among those of its zone. Its zone's entries cover the servers of
// the zone evenly, and those of all other zones, too.
struct SubsetEntry
{
  std::size_t mRank = 0;    // entries with a smaller RingPlace
  std::size_t mEntries = 1; // itself included
};

struct Subset
{
  // Indices of all servers, those to work with first in front.
  std::vector<std::size_t> mOrder;
  // So many of them are the subset; each server is in as many subsets as any
  // other, but for one, and one more box changes two at most.
  std::size_t mSize = 0;
};

Subset
ChooseSubset(std::span<const SubsetServer> aServers,
             const SubsetEntry& aEntry,
             const SubsetOptions& aOptions = {});

} // namespace porttiller
