#include "porttiller/policy/EjectionLedger.h"

#include <algorithm>

namespace porttiller {

namespace {

// Returns the slots of live servers that are not in aEntries. A server whose
// box is dead or leaving counts neither as capacity nor as ejected.
int
WorkingSlots(const std::vector<LedgerEntry>& aEntries,
             const CapacityView& aCapacity)
{
  int slots = 0;
  for (const auto& server : aCapacity.mServers) {
    const bool ejected = std::any_of(
      aEntries.begin(), aEntries.end(), [&](const LedgerEntry& aEntry) {
        return aEntry.mServer == server.mServer;
      });
    if (!server.mDeparted && !ejected) {
      slots += server.mSlots;
    }
  }
  return slots;
}

bool
IsKnown(const CapacityView& aCapacity, const BackendServerName& aServer)
{
  return std::any_of(
    aCapacity.mServers.begin(),
    aCapacity.mServers.end(),
    [&](const ServerCapacity& aKnown) { return aKnown.mServer == aServer; });
}

} // namespace

EjectionLedger::EjectionLedger(std::vector<LedgerEntry> aEntries)
  : mEntries(std::move(aEntries))
{
}

bool
EjectionLedger::Holds(const BackendServerName& aServer,
                      Incarnation aIncarnation) const
{
  return std::any_of(
    mEntries.begin(), mEntries.end(), [&](const LedgerEntry& aEntry) {
      return aEntry.mServer == aServer && aEntry.mIncarnation == aIncarnation;
    });
}

tl::expected<EjectionLedger, FloorError>
EjectionLedger::WithEjection(const LedgerEntry& aEntry,
                             const CapacityView& aCapacity) const
{
  if (!IsKnown(aCapacity, aEntry.mServer)) {
    return tl::make_unexpected(FloorError::kUnknownServer);
  }
  auto next = WithoutServer(aEntry.mServer);
  next.mEntries.push_back(aEntry);
  if (WorkingSlots(next.mEntries, aCapacity) < aCapacity.mFloorSlots) {
    return tl::make_unexpected(FloorError::kFloor);
  }
  return next;
}

EjectionLedger
EjectionLedger::WithoutServer(const BackendServerName& aServer) const
{
  auto next = *this;
  std::erase_if(next.mEntries, [&](const LedgerEntry& aEntry) {
    return aEntry.mServer == aServer;
  });
  return next;
}

EjectionLedger
EjectionLedger::WithoutEarlierIncarnations(const BoxName& aBox,
                                           Incarnation aCurrent) const
{
  auto next = *this;
  std::erase_if(next.mEntries, [&](const LedgerEntry& aEntry) {
    return aEntry.mBox == aBox && aEntry.mIncarnation != aCurrent;
  });
  return next;
}

EjectionLedger
EjectionLedger::WithoutUnheldEntries(
  const BoxName& aBox,
  const std::set<BackendServerName>& aHeld) const
{
  auto next = *this;
  std::erase_if(next.mEntries, [&](const LedgerEntry& aEntry) {
    return aEntry.mBox == aBox && !aHeld.contains(aEntry.mServer);
  });
  return next;
}

std::vector<LedgerEntry>
EjectionLedger::Excess(const CapacityView& aCapacity) const
{
  auto kept = mEntries;
  std::vector<LedgerEntry> excess;
  while (!kept.empty() &&
         WorkingSlots(kept, aCapacity) < aCapacity.mFloorSlots) {
    excess.push_back(kept.back());
    kept.pop_back();
  }
  return excess;
}

} // namespace porttiller
