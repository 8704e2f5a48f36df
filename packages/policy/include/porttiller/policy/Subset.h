// Chooses the servers of a service that an entry prefers (subsetting). With
// many entries, each with little traffic, and many servers, an entry that sends
// ten requests per second to 266 servers uses each once in half a minute: it
// knows neither their load nor their failures, and opens a connection for
// nearly every request. With 20 servers it uses each every two seconds.
#pragma once

#include "porttiller/core/Ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace porttiller {

struct SubsetOptions
{
  // Servers of the entry's own availability zone, and of all others together.
  // With fewer, losing some leaves too little choice; with more, each is used
  // too seldom to know its state.
  std::size_t mOwnZone = 12;
  std::size_t mOtherZones = 8;
};

// Position on the hash ring of entries and servers.
std::uint64_t
RingPosition(std::string_view aName);

struct SubsetServer
{
  std::uint64_t mPlace = 0; // RingPosition of its name
  bool mSameZone = false;
};

// Position of the entry among the entries of its zone. The subsets of a zone's
// entries together cover the servers of the zone evenly, and those of all other
// zones, too.
struct SubsetEntry
{
  std::size_t mRank = 0;    // entries with a smaller RingPosition
  std::size_t mEntries = 1; // itself included
};

struct Subset
{
  // Indices of all servers, those of the subset first.
  std::vector<std::size_t> mOrder;
  // Size of the subset. Over the entries of one zone, the servers of that zone
  // are in equally many subsets, give or take one, and so are the servers of
  // all other zones. Adding a box changes at most two servers of a subset.
  std::size_t mSize = 0;
};

Subset
ChooseSubset(std::span<const SubsetServer> aServers,
             const SubsetEntry& aEntry,
             const SubsetOptions& aOptions = {});

} // namespace porttiller
