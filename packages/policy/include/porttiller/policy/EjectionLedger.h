// The ejected backend servers of a service, shared by all homes, and the rule
// that enforces the service's capacity floor. The ledger is one object at the
// platform. Homes replace it by conditional updates, so two homes cannot both
// use the last spare capacity.
#pragma once

#include "porttiller/core/Ids.h"

#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

struct LedgerEntry
{
  BackendServerName mServer;
  BoxName mBox;
  Incarnation mIncarnation; // of the home that ejected the server
  int mSlots = 0;

  friend auto operator<=>(const LedgerEntry&, const LedgerEntry&) = default;
};

// The capacity of one server as a home sees it.
struct ServerCapacity
{
  BackendServerName mServer;
  int mSlots = 0;
  bool mDeparted = false; // its box is dead or leaving
};

struct CapacityView
{
  int mFloorSlots = 0;
  std::vector<ServerCapacity> mServers;
};

enum class FloorError
{
  kFloor,        // the ejection would leave less than the floor
  kUnknownServer // the server is not in the capacity view
};

// An immutable value: changes return a new ledger. Entries are ordered from
// oldest to newest.
class EjectionLedger
{
public:
  EjectionLedger() = default;
  explicit EjectionLedger(std::vector<LedgerEntry> aEntries);

  const std::vector<LedgerEntry>& Entries() const { return mEntries; }
  bool Holds(const BackendServerName& aServer, Incarnation aIncarnation) const;

  // Returns the ledger with this ejection added, or an error if that would
  // violate the floor.
  tl::expected<EjectionLedger, FloorError> WithEjection(
    const LedgerEntry& aEntry,
    const CapacityView& aCapacity) const;

  EjectionLedger WithoutServer(const BackendServerName& aServer) const;

  // Drops the entries that earlier incarnations of the daemon on aBox left.
  EjectionLedger WithoutEarlierIncarnations(const BoxName& aBox,
                                            Incarnation aCurrent) const;

  // Drops the entries of aBox whose servers are not in aHeld. Entries of other
  // boxes stay.
  EjectionLedger WithoutUnheldEntries(
    const BoxName& aBox,
    const std::set<BackendServerName>& aHeld) const;

  // Returns the newest entries, as many as must end for the floor to hold again
  // after boxes died or the floor was raised.
  std::vector<LedgerEntry> Excess(const CapacityView& aCapacity) const;

  friend auto operator<=>(const EjectionLedger&,
                          const EjectionLedger&) = default;

private:
  std::vector<LedgerEntry> mEntries;
};

} // namespace porttiller
