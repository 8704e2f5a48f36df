// Which backend servers of a service are ejected, as all homes agree on it,
// and the rule that keeps the floor. The ledger is one object at the platform;
// a home replaces it by a conditional update, so two homes cannot both take
// the last slack.
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
  Incarnation mIncarnation; // of the home that ejected it
  int mSlots = 0;

  friend auto operator<=>(const LedgerEntry&, const LedgerEntry&) = default;
};

// A server's capacity as one home sees it.
struct ServerCapacity
{
  BackendServerName mServer;
  int mSlots = 0;
  bool mGone = false; // its box is dead or leaving
};

struct CapacityView
{
  int mFloorSlots = 0;
  std::vector<ServerCapacity> mServers;
};

enum class FloorError
{
  kFloor,        // it would leave less than the floor
  kUnknownServer // the server is not in the capacity view
};

// An immutable value; changes make a new one. Entries are oldest first.
class EjectionLedger
{
public:
  EjectionLedger() = default;
  explicit EjectionLedger(std::vector<LedgerEntry> aEntries);

  const std::vector<LedgerEntry>& Entries() const { return mEntries; }
  bool Holds(const BackendServerName& aServer, Incarnation aIncarnation) const;

  // The ledger with this ejection, if that leaves the floor.
  tl::expected<EjectionLedger, FloorError> WithEjection(
    const LedgerEntry& aEntry,
    const CapacityView& aCapacity) const;

  EjectionLedger WithoutServer(const BackendServerName& aServer) const;

  // Without what earlier lives of this box left behind.
  EjectionLedger WithoutEarlierLives(const BoxName& aBox,
                                     Incarnation aCurrent) const;

  // Only with the entries of this box whose servers are in aHeld; those of
  // other boxes stay.
  EjectionLedger WithOwnOnly(const BoxName& aBox,
                             const std::set<BackendServerName>& aHeld) const;

  // The newest entries, whose servers must work again for the floor to hold:
  // after boxes died, or the floor was raised.
  std::vector<LedgerEntry> Excess(const CapacityView& aCapacity) const;

  friend auto operator<=>(const EjectionLedger&,
                          const EjectionLedger&) = default;

private:
  std::vector<LedgerEntry> mEntries;
};

} // namespace porttiller
