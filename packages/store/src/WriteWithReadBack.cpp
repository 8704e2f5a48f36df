#include "porttiller/store/WriteWithReadBack.h"

#include "porttiller/config/JsonText.h"

namespace porttiller {

namespace {

constexpr int kReadBackAttempts = 3;

// The spec as canonical JSON text, without its writer's white space.
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
         const StoreError& aWriteError)
{
  for (int i = 0; i < kReadBackAttempts; ++i) {
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
    // Still the old version: the write may be in flight and take effect later.
    // Only another write, which changes the version, rules that out.
    const bool isUnchanged = held ? held->mVersion == aVersion : aVersion == 0;
    if (isUnchanged) {
      return tl::make_unexpected(aWriteError);
    }
    return tl::make_unexpected(
      StoreError{ .mKind = StoreErrorKind::kConflict,
                  .mDetail = "another writer changed the object first" });
  }
  return tl::make_unexpected(aWriteError);
}

} // namespace

tl::expected<std::uint64_t, StoreError>
WriteWithReadBack(ObjectClient& aClient,
                  const ObjectKey& aKey,
                  std::uint64_t aVersion,
                  const std::string& aSpec)
{
  auto written = WriteOnce(aClient, aKey, aVersion, aSpec);
  if (written || written.error().mKind != StoreErrorKind::kAmbiguous) {
    return written;
  }
  auto readBack = ReadBack(aClient, aKey, aVersion, aSpec, written.error());
  if (readBack || readBack.error().mKind != StoreErrorKind::kAmbiguous) {
    return readBack;
  }
  // Sending the write again is safe: for one version at most one succeeds.
  auto again = WriteOnce(aClient, aKey, aVersion, aSpec);
  if (again || again.error().mKind == StoreErrorKind::kUnavailable) {
    return again ? again : readBack;
  }
  return ReadBack(aClient, aKey, aVersion, aSpec, again.error());
}

} // namespace porttiller
