// Keeps quarantined requests in the platform's store, so that they outlast a
// restart of all boxes.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/policy/CrashTable.h"
#include "porttiller/store/ObjectClient.h"

#include <vector>

namespace porttiller {

// Kind of these objects; the name is the request's digest.
inline constexpr const char* kCrashRecordKind = "crash-records";

// Owned by the crash controller. Not thread-safe, except for Abort. Times are
// stored as times of day, as clocks of boxes are not comparable.
class CrashStore
{
public:
  explicit CrashStore(const Settings& aSettings);

  // Objects that cannot be parsed are left out.
  tl::expected<std::vector<CrashRecord>, StoreError> ReadAll();
  // Creates or replaces the record. Returns false and logs if that failed.
  bool Write(const CrashRecord& aRecord);
  // Returns true once the store has no record of the request.
  bool Remove(const RequestDigest& aDigest);
  // Ends pending calls.
  void Abort();

private:
  ObjectClient mClient;
};

} // namespace porttiller
