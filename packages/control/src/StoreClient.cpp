#include "porttiller/control/StoreClient.h"

#include "porttiller/hop/Dialects.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

// Of the time that a change has to be in force, as its watchers' patience.
constexpr int kPatiencePart = 4;

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
           .mKeptPatience = aSettings.mTiming.mApply / kPatiencePart,
           .mDialect = StoreDialectOf(aSettings),
           .mOnKeptFailed = log };
}

} // namespace porttiller
