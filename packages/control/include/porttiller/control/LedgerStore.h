// The ejection ledgers at the platform, as one home changes them.
#pragma once

#include "porttiller/policy/EjectionLedger.h"
#include "porttiller/policy/EjectionMachine.h"
#include "porttiller/store/ObjectClient.h"

#include <functional>
#include <set>
#include <string>

namespace porttiller {

inline constexpr const char* kLedgerKind = "EjectionLedger";

// Asked anew for each try, so that it is as fresh as can be.
using CapacitySource = std::function<CapacityView()>;

// Used by one thread at a time.
class LedgerStore
{
public:
  LedgerStore(const std::string& aPlatformAddress,
              BoxName aBox,
              Incarnation aIncarnation);

  // Takes a permission to eject. Always writes, even when the ledger already
  // shows it: an earlier write that is still on its way must find the version
  // moved on.
  PermissionAnswer Eject(const ServiceName& aService,
                         const LedgerEntry& aEntry,
                         const CapacitySource& aCapacity);

  // Gives it back. True once the platform has confirmed it.
  bool Release(const ServiceName& aService, const BackendServerName& aServer);

  // Drops what earlier lives of this box left behind, and its entries for
  // servers that hold no permission. True once confirmed.
  bool Tidy(const ServiceName& aService,
            const std::set<BackendServerName>& aHolding);

  // Null while the platform is away.
  tl::expected<EjectionLedger, StoreError> Read(const ServiceName& aService);

private:
  struct Versioned
  {
    EjectionLedger mLedger;
    std::uint64_t mVersion = 0;
  };

  using Change = std::function<tl::expected<EjectionLedger, FloorError>(
    const EjectionLedger&)>;

  tl::expected<Versioned, StoreError> ReadVersioned(
    const ServiceName& aService);
  tl::expected<void, StoreError> Write(const ServiceName& aService,
                                       const Versioned& aHeld,
                                       const EjectionLedger& aNext);
  // Reads, changes and writes, again when another writer came first.
  PermissionAnswer Replace(const ServiceName& aService, const Change& aChange);

  ObjectClient mClient;
  const BoxName mBox;
  const Incarnation mIncarnation;
  std::uint64_t mWrites = 0;
};

// The ledger's spec; aWriter makes each write recognisable.
std::string
EncodeLedger(const EjectionLedger& aLedger, const std::string& aWriter);

tl::expected<EjectionLedger, StoreError>
DecodeLedger(const std::string& aSpecJson);

} // namespace porttiller
