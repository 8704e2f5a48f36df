#include "porttiller/store/SettledWrite.h"

#include "porttiller/config/JsonText.h"

namespace porttiller {

namespace {

constexpr int kReadBackTries = 3;

// The one text of a spec, whatever its writer's spacing.
std::string
Normalized(const std::string& aSpec)
{
  const auto json = ParseJsonObject(aSpec);
  return json ? ToJsonText(**json) : aSpec;
}

tl::expected<std::uint64_t, StoreError>
WriteOnce(ObjectClient& aClient,
          const ObjectKey& aKey,
          std::uint64_t aVersion,
          const std::string& aSpec)
{
  if (aVersion == 0) {
    return aClient.Create(aKey, aSpec);
  }
  return aClient.Update(aKey, aVersion, aSpec);
}

tl::expected<std::uint64_t, StoreError>
ReadBack(ObjectClient& aClient,
         const ObjectKey& aKey,
         std::uint64_t aVersion,
         const std::string& aSpec,
         const StoreError& aLost)
{
  for (int i = 0; i < kReadBackTries; ++i) {
    const auto held = aClient.Get(aKey);
    if (held && held->mVersion > aVersion &&
        Normalized(held->mSpecJson) == Normalized(aSpec)) {
      return held->mVersion;
    }
    const bool answered =
      held || held.error().mKind == StoreErrorKind::kNotFound;
    if (!answered) {
      continue;
    }
    // Still the old version: a request on its way may yet take effect, so
    // nothing is certain until another write moves the version on.
    const bool unmoved = held ? held->mVersion == aVersion : aVersion == 0;
    if (unmoved) {
      return tl::make_unexpected(aLost);
    }
    return tl::make_unexpected(
      StoreError{ .mKind = StoreErrorKind::kConflict,
                  .mDetail = "another writer came first" });
  }
  return tl::make_unexpected(aLost);
}

} // namespace

tl::expected<std::uint64_t, StoreError>
WriteSettled(ObjectClient& aClient,
             const ObjectKey& aKey,
             std::uint64_t aVersion,
             const std::string& aSpec)
{
  auto written = WriteOnce(aClient, aKey, aVersion, aSpec);
  if (written || written.error().mKind != StoreErrorKind::kAmbiguous) {
    return written;
  }
  auto settled = ReadBack(aClient, aKey, aVersion, aSpec, written.error());
  if (settled || settled.error().mKind != StoreErrorKind::kAmbiguous) {
    return settled;
  }
  // Writing the same version again is safe: at most one of the two can win.
  auto again = WriteOnce(aClient, aKey, aVersion, aSpec);
  if (again || again.error().mKind == StoreErrorKind::kUnavailable) {
    return again ? again : settled;
  }
  return ReadBack(aClient, aKey, aVersion, aSpec, again.error());
}

} // namespace porttiller
