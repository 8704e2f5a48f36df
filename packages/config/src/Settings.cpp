#include "porttiller/config/Settings.h"

#include "porttiller/config/JsonText.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <sstream>

namespace porttiller {

namespace {

constexpr IntegerRange kThreads{ .mMin = 2, .mMax = 4096 };
constexpr IntegerRange kBodyBytes{ .mMin = 1024, .mMax = kMaxBodyBytes };
constexpr IntegerRange kHeaders{ .mMin = 8, .mMax = 1000 };
constexpr IntegerRange kHeaderBytes{ .mMin = 1024, .mMax = 1 << 20 };
constexpr IntegerRange kOpenConnections{ .mMin = 1, .mMax = 65'536 };
constexpr IntegerRange kConnections{ .mMin = 1, .mMax = 1024 };
constexpr IntegerRange kDrainMs{ .mMin = 100, .mMax = 600'000 };
constexpr IntegerRange kIntervalMs{ .mMin = 10, .mMax = 60'000 };
constexpr IntegerRange kTargetMs{ .mMin = 100, .mMax = 600'000 };
constexpr IntegerRange kApplyMs{ .mMin = 200, .mMax = 60'000 };
constexpr IntegerRange kPort{ .mMin = 0, .mMax = 65535 };
// Upper bound of numbers that the platform provides. It is far above real
// values, so in effect only the sign is checked.
constexpr double kMaxPlatformNumber = 1e9;
constexpr double kMinWindowS = 0.1;
constexpr double kMaxWindowS = 86'400.0;
// Share of the time until a shutdown is forced that draining may take. It
// extends into the last sixth, because requests that run then must still be
// completed; the rest is for the process to exit.
constexpr double kDrainShareOfGrace = 0.88;
constexpr double kMillisPerSecond = 1000.0;
// A waiting request takes up to 128 KB (used stack of a thread and buffers),
// and the requests of each role may take a quarter of the box's memory.
constexpr double kThreadsPerMb = 2.0;
// Part of the memory for answers that callers have not read yet; half of the
// memory is taken by running requests of both roles.
constexpr double kUnsentShare = 1.0 / 8.0;
constexpr IntegerRange kDerivedThreads{ .mMin = 64, .mMax = 512 };
// The file descriptors, less a reserve for files, are shared equally by
// connections from callers, from other boxes, and those that this box opens.
constexpr double kReservedDescriptors = 200.0;
constexpr double kDescriptorShares = 3.0;
constexpr IntegerRange kDerivedConnections{ .mMin = 64, .mMax = 2048 };
constexpr unsigned kIndent = 2;

int
ReadInt(FieldReader& aReader,
        const std::string& aName,
        IntegerRange aRange,
        int aDefault)
{
  return static_cast<int>(aReader.IntegerOr(aName, aRange, aDefault));
}

Millis
ReadMillis(FieldReader& aReader,
           const std::string& aName,
           IntegerRange aRange,
           Millis aDefault)
{
  return Millis(aReader.IntegerOr(aName, aRange, aDefault.count()));
}

int
ClampTo(double aValue, IntegerRange aRange)
{
  return static_cast<int>(std::clamp(aValue,
                                     static_cast<double>(aRange.mMin),
                                     static_cast<double>(aRange.mMax)));
}

int
ThreadsFor(const ResourceSettings& aResources, int aDefault)
{
  return aResources.mMemoryMb > 0.0
           ? ClampTo(aResources.mMemoryMb * kThreadsPerMb, kDerivedThreads)
           : aDefault;
}

int
ConnectionsFor(const ResourceSettings& aResources, int aDefault)
{
  const double free = aResources.mDescriptors - kReservedDescriptors;
  return aResources.mDescriptors > 0.0
           ? ClampTo(free / kDescriptorShares, kDerivedConnections)
           : aDefault;
}

ResourceSettings
ReadResources(FieldReader aReader)
{
  ResourceSettings settings;
  settings.mMemoryMb =
    aReader.NumberOr("memory_mb", 0.0, kMaxPlatformNumber, 0.0);
  settings.mDescriptors =
    aReader.NumberOr("descriptors", 0.0, kMaxPlatformNumber, 0.0);
  settings.mUnsentMb =
    aReader.NumberOr("unsent_mb", 0.0, kMaxPlatformNumber, 0.0);
  if (settings.mUnsentMb == 0.0) {
    settings.mUnsentMb = settings.mMemoryMb * kUnsentShare;
  }
  aReader.RejectUnknownKeys();
  return settings;
}

CallerSettings
ReadCallers(FieldReader aReader, const ResourceSettings& aResources)
{
  CallerSettings settings;
  settings.mThreads = ThreadsFor(aResources, settings.mThreads);
  settings.mConnections = ConnectionsFor(aResources, settings.mConnections);
  settings.mAddress = aReader.AddressOr("address", settings.mAddress);
  settings.mThreads = ReadInt(aReader, "threads", kThreads, settings.mThreads);
  settings.mConnections =
    ReadInt(aReader, "connections", kOpenConnections, settings.mConnections);
  settings.mMaxBodyBytes =
    ReadInt(aReader, "max_body_bytes", kBodyBytes, settings.mMaxBodyBytes);
  settings.mMaxHeaders =
    ReadInt(aReader, "max_headers", kHeaders, settings.mMaxHeaders);
  settings.mMaxHeaderBytes = ReadInt(
    aReader, "max_header_bytes", kHeaderBytes, settings.mMaxHeaderBytes);
  aReader.RejectUnknownKeys();
  return settings;
}

PeerSettings
ReadPeers(FieldReader aReader, const ResourceSettings& aResources)
{
  PeerSettings settings;
  settings.mThreads = ThreadsFor(aResources, settings.mThreads);
  settings.mConnections = ConnectionsFor(aResources, settings.mConnections);
  settings.mHomeAddress =
    aReader.AddressOr("home_address", settings.mHomeAddress);
  settings.mControlAddress =
    aReader.AddressOr("control_address", settings.mControlAddress);
  settings.mThreads = ReadInt(aReader, "threads", kThreads, settings.mThreads);
  settings.mConnections =
    ReadInt(aReader, "connections", kOpenConnections, settings.mConnections);
  settings.mConnectionsPerBox = ReadInt(
    aReader, "connections_per_box", kConnections, settings.mConnectionsPerBox);
  settings.mSeeds = aReader.Addresses("seeds");
  settings.mSeedPort = ReadInt(aReader, "seed_port", kPort, settings.mSeedPort);
  settings.mConnectTimeout = ReadMillis(
    aReader, "connect_timeout_ms", kIntervalMs, settings.mConnectTimeout);
  settings.mUserTimeout =
    ReadMillis(aReader, "user_timeout_ms", kIntervalMs, settings.mUserTimeout);
  aReader.RejectUnknownKeys();
  return settings;
}

TimingSettings
ReadTiming(FieldReader aReader)
{
  TimingSettings settings;
  const double grace =
    aReader.NumberOr("grace_s", 0.0, kMaxPlatformNumber, 0.0);
  if (grace > 0.0) {
    settings.mDrain =
      Millis(ClampTo(grace * kMillisPerSecond * kDrainShareOfGrace, kDrainMs));
  }
  settings.mDrain = ReadMillis(aReader, "drain_ms", kDrainMs, settings.mDrain);
  settings.mDrainNotice =
    ReadMillis(aReader, "drain_notice_ms", kIntervalMs, settings.mDrainNotice);
  settings.mDrainNotice = std::min(settings.mDrainNotice, settings.mDrain / 2);
  const double apply =
    aReader.NumberOr("apply_ms", 0.0, kMaxPlatformNumber, 0.0);
  if (apply > 0.0) {
    settings.mApplyLimit = Millis(ClampTo(apply, kApplyMs));
  }
  settings.mProbeInterval = ReadMillis(
    aReader, "probe_interval_ms", kIntervalMs, settings.mProbeInterval);
  settings.mProbeTimeout = ReadMillis(
    aReader, "probe_timeout_ms", kIntervalMs, settings.mProbeTimeout);
  settings.mAttemptCheckDelay = ReadMillis(
    aReader, "attempt_patience_ms", kIntervalMs, settings.mAttemptCheckDelay);
  settings.mRevokeTimeout = ReadMillis(
    aReader, "revoke_timeout_ms", kIntervalMs, settings.mRevokeTimeout);
  aReader.RejectUnknownKeys();
  return settings;
}

RegistrationSettings
ReadRegistration(FieldReader aReader)
{
  RegistrationSettings settings;
  settings.mAddress = aReader.AddressOr("address", settings.mAddress);
  settings.mFirstStart = aReader.OptionalBool("first_start").value_or(false);
  aReader.RejectUnknownKeys();
  return settings;
}

ReadinessSettings
ReadReadiness(FieldReader aReader)
{
  ReadinessSettings settings;
  settings.mAddress = aReader.AddressOr("address", settings.mAddress);
  settings.mPath = aReader.StringOr("path", settings.mPath);
  aReader.RejectUnknownKeys();
  return settings;
}

Millis
ReadWindow(FieldReader& aReader, Millis aDefault)
{
  using Seconds = std::chrono::duration<double>;
  return std::chrono::duration_cast<Millis>(Seconds(aReader.NumberOr(
    "window_s", kMinWindowS, kMaxWindowS, Seconds(aDefault).count())));
}

WorkspaceLimitSettings
ReadWorkspaceLimits(FieldReader aReader)
{
  WorkspaceLimitSettings settings;
  settings.mWindow = ReadWindow(aReader, settings.mWindow);
  settings.mOver =
    aReader.NumberOr("over", 0.0, kMaxPlatformNumber, settings.mOver);
  settings.mSlack =
    aReader.NumberOr("slack", 0.0, kMaxPlatformNumber, settings.mSlack);
  aReader.RejectUnknownKeys();
  return settings;
}

LongRequestSettings
ReadLongRequests(FieldReader aReader)
{
  LongRequestSettings settings;
  if (aReader.Has("min_target_ms")) {
    settings.mMinTarget = Millis(aReader.Integer("min_target_ms", kTargetMs));
  }
  aReader.RejectUnknownKeys();
  return settings;
}

RetrySettings
ReadRetries(FieldReader aReader)
{
  RetrySettings settings;
  settings.mShare =
    aReader.NumberOr("share", 0.0, kMaxPlatformNumber, settings.mShare);
  settings.mBurst =
    aReader.NumberOr("burst", 0.0, kMaxPlatformNumber, settings.mBurst);
  settings.mWindow = ReadWindow(aReader, settings.mWindow);
  aReader.RejectUnknownKeys();
  return settings;
}

Dialect
ReadDialect(FieldReader& aReader)
{
  const auto dialect = aReader.StringOr("dialect", "native");
  if (dialect != "native" && dialect != "mesh") {
    aReader.Fail("dialect", "must be \"native\" or \"mesh\"");
  }
  return dialect == "mesh" ? Dialect::kMesh : Dialect::kNative;
}

FailingServers
ReadFailingServers(FieldReader& aReader)
{
  const auto action = aReader.StringOr("failing_servers", "eject");
  if (action != "eject" && action != "break") {
    aReader.Fail("failing_servers", "must be \"eject\" or \"break\"");
  }
  return action == "break" ? FailingServers::kBreak : FailingServers::kEject;
}

std::string
ReadLogLevel(FieldReader& aReader, const std::string& aDefault)
{
  auto level = aReader.StringOr("log_level", aDefault);
  if (level != "debug" && level != "info" && level != "warning" &&
      level != "error") {
    aReader.Fail("log_level",
                 "must be \"debug\", \"info\", \"warning\" or \"error\"");
  }
  return level;
}

} // namespace

std::optional<Millis>
LongTargetOf(std::optional<Millis> aRouteTarget,
             std::optional<Millis> aLongestOfService,
             const LongRequestSettings& aSettings)
{
  const bool applies = aLongestOfService && aSettings.mMinTarget &&
                       *aLongestOfService >= *aSettings.mMinTarget;
  return applies ? aRouteTarget : std::nullopt;
}

std::vector<std::string>
SeedAddresses(const Settings& aSettings)
{
  auto seeds = aSettings.mPeers.mSeeds;
  if (aSettings.mPeers.mSeedPort == 0) {
    return seeds;
  }
  const auto port = ":" + std::to_string(aSettings.mPeers.mSeedPort);
  for (auto& seed : seeds) {
    seed = seed.substr(0, seed.rfind(':')) + port;
  }
  return seeds;
}

tl::expected<Settings, FieldErrors>
ParseSettings(const std::string& aText)
{
  auto document = ParseJsonObject(aText);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  FieldErrors errors;
  FieldReader reader(*document, "", errors);
  Settings settings;
  settings.mBox = BoxName(reader.String("box"));
  if (settings.mBox.Value().find('/') != std::string::npos) {
    reader.Fail("box", "must not contain \"/\"");
  }
  settings.mZone = AvailabilityZone(reader.String("zone"));
  settings.mResources = ReadResources(reader.Child("resources"));
  settings.mCallers = ReadCallers(reader.Child("callers"), settings.mResources);
  settings.mPeers = ReadPeers(reader.Child("peers"), settings.mResources);
  settings.mTiming = ReadTiming(reader.Child("timing"));
  settings.mAdminAddress =
    reader.AddressOr("admin_address", settings.mAdminAddress);
  settings.mPlatformAddress = reader.Address("platform_address");
  settings.mLogLevel = ReadLogLevel(reader, settings.mLogLevel);
  settings.mDialect = ReadDialect(reader);
  settings.mFailingServers = ReadFailingServers(reader);
  settings.mService = ServiceName(reader.StringOr("service", ""));
  settings.mRegistration = ReadRegistration(reader.Child("registration"));
  settings.mReadiness = ReadReadiness(reader.Child("readiness"));
  settings.mRetries = ReadRetries(reader.Child("retries"));
  settings.mWorkspaceLimits =
    ReadWorkspaceLimits(reader.Child("workspace_limits"));
  settings.mLongRequests = ReadLongRequests(reader.Child("long_requests"));
  reader.RejectUnknownKeys();
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return settings;
}

std::string
ToJsonText(const Settings& aSettings)
{
  Poco::JSON::Object callers;
  callers.set("address", aSettings.mCallers.mAddress);
  callers.set("threads", aSettings.mCallers.mThreads);
  callers.set("connections", aSettings.mCallers.mConnections);
  callers.set("max_body_bytes", aSettings.mCallers.mMaxBodyBytes);
  callers.set("max_headers", aSettings.mCallers.mMaxHeaders);
  callers.set("max_header_bytes", aSettings.mCallers.mMaxHeaderBytes);
  Poco::JSON::Object peers;
  peers.set("home_address", aSettings.mPeers.mHomeAddress);
  peers.set("control_address", aSettings.mPeers.mControlAddress);
  peers.set("threads", aSettings.mPeers.mThreads);
  peers.set("connections", aSettings.mPeers.mConnections);
  peers.set("connections_per_box", aSettings.mPeers.mConnectionsPerBox);
  Poco::JSON::Array seeds;
  for (const auto& seed : aSettings.mPeers.mSeeds) {
    seeds.add(seed);
  }
  peers.set("seeds", seeds);
  peers.set("seed_port", aSettings.mPeers.mSeedPort);
  peers.set("connect_timeout_ms", aSettings.mPeers.mConnectTimeout.count());
  peers.set("user_timeout_ms", aSettings.mPeers.mUserTimeout.count());
  const auto& times = aSettings.mTiming;
  Poco::JSON::Object timing;
  timing.set("drain_ms", times.mDrain.count());
  timing.set("drain_notice_ms", times.mDrainNotice.count());
  timing.set("apply_ms", times.mApplyLimit.count());
  timing.set("probe_interval_ms", times.mProbeInterval.count());
  timing.set("probe_timeout_ms", times.mProbeTimeout.count());
  timing.set("attempt_patience_ms", times.mAttemptCheckDelay.count());
  timing.set("revoke_timeout_ms", times.mRevokeTimeout.count());
  Poco::JSON::Object document;
  document.set("box", aSettings.mBox.Value());
  document.set("zone", aSettings.mZone.Value());
  document.set("callers", callers);
  document.set("peers", peers);
  document.set("timing", timing);
  document.set("admin_address", aSettings.mAdminAddress);
  document.set("platform_address", aSettings.mPlatformAddress);
  document.set("log_level", aSettings.mLogLevel);
  document.set("dialect",
               aSettings.mDialect == Dialect::kMesh ? "mesh" : "native");
  document.set("failing_servers",
               aSettings.mFailingServers == FailingServers::kBreak ? "break"
                                                                   : "eject");
  if (!aSettings.mService.Empty()) {
    document.set("service", aSettings.mService.Value());
  }
  Poco::JSON::Object registration;
  if (!aSettings.mRegistration.mAddress.empty()) {
    registration.set("address", aSettings.mRegistration.mAddress);
  }
  registration.set("first_start", aSettings.mRegistration.mFirstStart);
  document.set("registration", registration);
  Poco::JSON::Object readiness;
  if (!aSettings.mReadiness.mAddress.empty()) {
    readiness.set("address", aSettings.mReadiness.mAddress);
  }
  readiness.set("path", aSettings.mReadiness.mPath);
  document.set("readiness", readiness);
  Poco::JSON::Object retries;
  retries.set("share", aSettings.mRetries.mShare);
  retries.set("burst", aSettings.mRetries.mBurst);
  retries.set(
    "window_s",
    std::chrono::duration<double>(aSettings.mRetries.mWindow).count());
  document.set("retries", retries);
  Poco::JSON::Object limits;
  limits.set(
    "window_s",
    std::chrono::duration<double>(aSettings.mWorkspaceLimits.mWindow).count());
  limits.set("over", aSettings.mWorkspaceLimits.mOver);
  limits.set("slack", aSettings.mWorkspaceLimits.mSlack);
  document.set("workspace_limits", limits);
  Poco::JSON::Object longRequests;
  if (const auto& target = aSettings.mLongRequests.mMinTarget) {
    longRequests.set("min_target_ms", target->count());
  }
  document.set("long_requests", longRequests);
  Poco::JSON::Object resources;
  resources.set("memory_mb", aSettings.mResources.mMemoryMb);
  resources.set("descriptors", aSettings.mResources.mDescriptors);
  resources.set("unsent_mb", aSettings.mResources.mUnsentMb);
  document.set("resources", resources);
  std::ostringstream text;
  document.stringify(text, kIndent);
  return text.str();
}

} // namespace porttiller
