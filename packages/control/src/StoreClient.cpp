#include "porttiller/control/StoreClient.h"

#include "porttiller/hop/Dialects.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

// An unresponsive connection is replaced after this fraction of the time
// within which a change must be in force; see kWatchStepDivisor in
// ConfigController.cpp.
constexpr int kReusedReadTimeoutDivisor = 4;

} // namespace

ObjectClientOptions
StoreClientOptions(const Settings& aSettings,
                   const std::string& aUse,
                   Millis aTimeout)
{
  const auto log = [aUse](Millis aWaited, const std::string& aDetail) {
    LogLine(LogLevel::kInfo, "store_connection_replaced")
      .With("use", aUse)
      .With("waited_ms", aWaited.count())
      .With("detail", aDetail);
  };
  return { .mAddress = aSettings.mPlatformAddress,
           .mTimeout = aTimeout,
           .mReusedReadTimeout =
             aSettings.mTiming.mApplyLimit / kReusedReadTimeoutDivisor,
           .mDialect = StoreDialectOf(aSettings),
           .mOnReusedReadFailed = log };
}

} // namespace porttiller
