// Reads and updates the ejection ledgers in the platform's store for one home.
#pragma once

#include "porttiller/policy/EjectionLedger.h"
#include "porttiller/policy/EjectionMachine.h"
#include "porttiller/store/ObjectClient.h"

#include <functional>
#include <set>
#include <string>

namespace porttiller {

inline constexpr const char* kLedgerKind = "EjectionLedger";

// Called again for each try, so that the capacity is up to date.
using CapacitySource = std::function<CapacityView()>;

// Used by one thread at a time.
class LedgerStore
{
public:
  LedgerStore(const std::string& aPlatformAddress,
              BoxName aBox,
              Incarnation aIncarnation);

  // Takes the permission to eject a server. Writes even when the ledger already
  // has the entry, so that an earlier write still in flight fails with a
  // version conflict.
  PermissionAnswer Eject(const ServiceName& aService,
                         const LedgerEntry& aEntry,
                         const CapacitySource& aCapacity);

  // Releases the permission. True if the platform confirmed it.
  bool Release(const ServiceName& aService, const BackendServerName& aServer);

  // Removes entries of earlier incarnations of this box, and its entries for
  // servers that hold no permission. True if nothing had to be removed or the
  // platform confirmed the write.
  bool RemoveStale(const ServiceName& aService,
                   const std::set<BackendServerName>& aHolding);

  // Fails while the platform is unreachable.
  tl::expected<EjectionLedger, StoreError> Read(const ServiceName& aService);

private:
  struct VersionedLedger
  {
    EjectionLedger mLedger;
    std::uint64_t mVersion = 0;
  };

  using Change = std::function<tl::expected<EjectionLedger, FloorError>(
    const EjectionLedger&)>;

  tl::expected<VersionedLedger, StoreError> ReadVersioned(
    const ServiceName& aService);
  tl::expected<void, StoreError> Write(const ServiceName& aService,
                                       const VersionedLedger& aHeld,
                                       const EjectionLedger& aNext);
  // Reads, changes and writes the ledger; retries if another writer changed it
  // in between.
  PermissionAnswer Replace(const ServiceName& aService, const Change& aChange);

  ObjectClient mClient;
  const BoxName mBox;
  const Incarnation mIncarnation;
  std::uint64_t mWrites = 0;
};

// The ledger's spec. aWriter is unique for each write, so that a writer can
// recognise its own version.
std::string
EncodeLedger(const EjectionLedger& aLedger, const std::string& aWriter);

tl::expected<EjectionLedger, StoreError>
DecodeLedger(const std::string& aSpecJson);

} // namespace porttiller
