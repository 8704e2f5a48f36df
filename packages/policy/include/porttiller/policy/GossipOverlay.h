// The boxes to which a box sends gossip: a sparse overlay network that changes
// only with the fleet. With receivers drawn anew for each message, a box that
// sends a message per second is soon connected to every other box; over the
// overlay the number of its connections grows with the logarithm of the fleet.
//
// The boxes of each zone form a ring, in the order of a hash of their names.
// The neighbors of a box in its own zone are the boxes 1, 2, 4, ... places
// ahead of it. In another zone they are the same places ahead of the point of
// that ring that corresponds to its own place, so that each box has as many
// boxes that send to it as the others. Source: the finger tables of Stoica et
// al., "Chord: A Scalable Peer-to-Peer Lookup Service for Internet
// Applications", 2001.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/policy/GossipFanout.h"

#include <cstdint>
#include <map>
#include <vector>

namespace porttiller {

struct OverlayBox
{
  BoxName mName;
  AvailabilityZone mZone;
};

struct GossipOverlayOptions
{
  // Neighbors in each zone other than the box's own.
  std::size_t mPerOtherZone = 4;
};

// Not thread-safe: its owner holds the lock of the membership.
class GossipOverlay
{
public:
  GossipOverlay(BoxName aSelf,
                AvailabilityZone aZone,
                GossipOverlayOptions aOptions = {});

  // Sets the live boxes. This box is ignored if it is among them.
  void SetBoxes(const std::vector<OverlayBox>& aBoxes);

  // The receivers of one message, drawn from the neighbors by aRandom, a
  // uniform 64-bit draw: as many of each zone as aFanout specifies, or all
  // neighbors there. The next box on the own zone's ring is always among them,
  // so that a message that every receiver forwards reaches the whole zone.
  std::vector<BoxName> Receivers(const GossipFanout& aFanout,
                                 std::uint64_t aRandom) const;

  // All boxes that Receivers may return.
  std::vector<BoxName> Neighbors() const;

private:
  const BoxName mSelf;
  const AvailabilityZone mZone;
  const GossipOverlayOptions mOptions;
  // In the order of their distance on the zone's ring.
  std::map<AvailabilityZone, std::vector<BoxName>> mNeighbors;
};

} // namespace porttiller
