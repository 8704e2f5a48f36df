#include "porttiller/hop/Dialects.h"

#include "porttiller/hop/HopHeaders.h"
#include "porttiller/platform/MeshHeaders.h"

namespace porttiller {

EdgeHeaders
EdgeHeadersOf(const Settings& aSettings)
{
  if (aSettings.mDialect == Dialect::kMesh) {
    return platform::MeshHeaders();
  }
  return { .mDeadline = hop::kDeadlineMs,
           .mKey = hop::kKey,
           .mServerDeadline = hop::kDeadlineMs,
           .mWorkspace = hop::kWorkspace,
           .mServerLimit = hop::kServerLimit,
           .mServerLeaving = hop::kServerLeaving,
           .mReportOutcome = true };
}

StoreDialect
StoreDialectOf(const Settings& aSettings)
{
  if (aSettings.mDialect == Dialect::kMesh) {
    return platform::ObjectStoreDialect{};
  }
  return NativeDialect{};
}

} // namespace porttiller
