// The settings of a daemon, from its JSON file. docs/CONFIG.md describes the
// keys.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

// Resources of the machine for this process; zero: unknown.
struct ResourceSettings
{
  double mMemoryMb = 0.0;
  double mDescriptors = 0.0; // file descriptors
  // Memory for answers that callers have not read yet.
  double mUnsentMb = 0.0;
};

// The largest limit of a body that can be set, in bytes.
inline constexpr std::size_t kMaxBodyBytes = 64 << 20;

struct CallerSettings
{
  std::string mAddress = "127.0.0.1:8080";
  int mThreads = 128;      // requests served concurrently
  int mConnections = 2048; // open concurrently
  int mMaxBodyBytes = 1 << 20;
  int mMaxHeaders = 100;
  int mMaxHeaderBytes = 16 << 10;
};

struct PeerSettings
{
  std::string mHomeAddress = "127.0.0.1:8081";
  std::string mControlAddress = "127.0.0.1:8082";
  int mThreads = 256;      // requests served concurrently
  int mConnections = 2048; // from other boxes, open concurrently
  int mConnectionsPerBox = 16;
  // Control addresses of boxes that are asked for the configuration while the
  // platform is unavailable.
  std::vector<std::string> mSeeds;
  // If not 0, replaces the port of each address in mSeeds.
  int mSeedPort = 0;
  Millis mConnectTimeout{ 150 };
  // A connection to a box is closed when sent data stays unacknowledged this
  // long (TCP_USER_TIMEOUT).
  Millis mUserTimeout{ 700 };
};

// The protocol between this daemon and the platform and callers.
enum class Dialect
{
  kNative, // docs/API.md
  kMesh    // the users' platform; implemented in platform/ only
};

// How a home handles a failing backend server.
enum class FailingServers
{
  kEject, // ejects it, with permission from the platform
  kBreak  // uses a circuit breaker, without asking the platform
};

// Registration of backend servers. Without an address, operators list them.
struct RegistrationSettings
{
  std::string mAddress;
  // This is the first start of the box: no earlier incarnation can have stored
  // anything.
  bool mFirstStart = false;
};

// Where the platform checks whether this box accepts requests from callers.
// Without an address, there is no such check.
struct ReadinessSettings
{
  std::string mAddress;
  std::string mPath = "/ready";
};

// Retry limits for the whole fleet, which also bound those of each service.
struct RetrySettings
{
  double mShare = 1.0;       // retries per first attempt
  double mBurst = 1'000'000; // additional retries per window
  Millis mWindow{ 10'000 };  // for which share and burst apply
};

// Tolerance for the rate limits of workspaces: no window may have more than
// (rate x window + burst) x (1 + mOver) + mSlack requests.
struct WorkspaceLimitSettings
{
  Millis mWindow{ 5000 };
  double mOver = 0.1;   // as a fraction of the limit
  double mSlack = 20.0; // requests
};

// Rules for long requests: they trade latency, of which such requests have
// some to spare, for the chance to be served. See docs/design/hard-load.md.
struct LongRequestSettings
{
  // They apply to the routes of each service of which one has at least this
  // latency target; null: to none.
  std::optional<Millis> mMinTarget;
};

struct TimingSettings
{
  Millis mDrain{ 10'000 }; // limit for a planned shutdown
  // Requests from callers are still accepted for this time after the start of a
  // planned shutdown.
  Millis mDrainNotice{ 300 };
  // A configuration change must be in force on all boxes within this time after
  // the platform has acknowledged it.
  Millis mApplyLimit{ 4000 };
  Millis mProbeInterval{ 1000 };
  Millis mProbeTimeout{ 300 };
  // Time until the home is asked for the state of an attempt.
  Millis mAttemptCheckDelay{ 1000 };
  Millis mRevokeTimeout{ 200 };
};

struct Settings
{
  BoxName mBox;
  AvailabilityZone mZone;
  CallerSettings mCallers;
  PeerSettings mPeers;
  std::string mAdminAddress = "127.0.0.1:8083";
  std::string mPlatformAddress;
  Dialect mDialect = Dialect::kNative;
  FailingServers mFailingServers = FailingServers::kEject;
  ServiceName mService; // of the backend server of this box; may be empty
  RegistrationSettings mRegistration;
  ReadinessSettings mReadiness;
  RetrySettings mRetries;
  WorkspaceLimitSettings mWorkspaceLimits;
  LongRequestSettings mLongRequests;
  ResourceSettings mResources;
  std::string mLogLevel = "info";
  TimingSettings mTiming;
};

// The latency target of a route if the rules for long requests apply to it;
// null otherwise. aLongestOfService: of the routes to the same service, whose
// requests share its servers.
std::optional<Millis>
LongTargetOf(std::optional<Millis> aRouteTarget,
             std::optional<Millis> aLongestOfService,
             const LongRequestSettings& aSettings);

// The control addresses of the seeds, with mSeedPort applied.
std::vector<std::string>
SeedAddresses(const Settings& aSettings);

// Validates all keys and returns all errors.
tl::expected<Settings, FieldErrors>
ParseSettings(const std::string& aText);

// Prints the effective values in the form of a settings file.
std::string
ToJsonText(const Settings& aSettings);

} // namespace porttiller
