// The settings of one daemon, from its JSON file. docs/CONFIG.md has each key.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

// What the machine gives this process; zero: not told.
struct ResourceSettings
{
  double mMemoryMb = 0.0;
  double mDescriptors = 0.0;
};

struct CallerSettings
{
  std::string mAddress = "127.0.0.1:8080";
  int mThreads = 128;      // requests served at once
  int mConnections = 2048; // open at once
  int mMaxBodyBytes = 1 << 20;
  int mMaxHeaders = 100;
  int mMaxHeaderBytes = 16 << 10;
};

struct PeerSettings
{
  std::string mHomeAddress = "127.0.0.1:8081";
  std::string mControlAddress = "127.0.0.1:8082";
  int mThreads = 256;
  int mConnections = 2048; // from other boxes, open at once
  int mConnectionsPerBox = 16;
  // Control addresses asked for the configuration while the platform is away.
  std::vector<std::string> mSeeds;
  // The boxes of mSeeds take control messages at this port, whatever port is
  // given there; 0: at the one that is given.
  int mSeedPort = 0;
  Millis mConnectTimeout{ 150 };
  // Sent bytes that a box leaves unacknowledged for so long end a connection.
  Millis mUserTimeout{ 700 };
};

// How the platform and callers speak to this daemon.
enum class Dialect
{
  kNative, // docs/API.md
  kMesh    // the users' machines; only platform/ knows its words
};

// What a home does with a backend server that fails.
enum class FailingServers
{
  kEject, // by the ejection machine, with permissions from the platform
  kBreak  // by the circuit breaker, which asks nobody
};

// Where backend servers tell about themselves; empty: operators list them.
struct RegistrationSettings
{
  std::string mAddress;
  // No earlier life of this box may have left anything behind.
  bool mFirstStart = false;
};

// Where the platform asks whether callers may send; empty: nowhere.
struct ReadinessSettings
{
  std::string mAddress;
  std::string mPath = "/ready";
};

// Bounds that hold for the whole fleet, whatever a service's spec says.
struct RetrySettings
{
  double mShare = 1.0; // of the first attempts
  double mBurst = 1'000'000;
  Millis mWindow{ 10'000 }; // that share and burst hold for
};

// How exactly the limits of workspaces have to be kept: in no window more than
// (rate x window + burst) x (1 + mOver) + mSlack requests.
struct WorkspaceLimitSettings
{
  Millis mWindow{ 5000 };
  double mOver = 0.1;
  double mSlack = 20.0;
};

struct TimingSettings
{
  Millis mDrain{ 10'000 }; // bound of a planned stop
  // After the start of a planned stop callers may still send for so long.
  Millis mDrainNotice{ 300 };
  // A change of the configuration is to be in force everywhere this long after
  // the platform has acknowledged it.
  Millis mApply{ 4000 };
  Millis mProbeInterval{ 1000 };
  Millis mProbeTimeout{ 300 };
  Millis mAttemptPatience{ 1000 }; // until the home is asked about an attempt
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
  ServiceName mService; // of the backend server on this box; may be empty
  RegistrationSettings mRegistration;
  ReadinessSettings mReadiness;
  RetrySettings mRetries;
  WorkspaceLimitSettings mWorkspaceLimits;
  ResourceSettings mResources;
  std::string mLogLevel = "info";
  TimingSettings mTiming;
};

// The control addresses of the seeds.
std::vector<std::string>
SeedAddresses(const Settings& aSettings);

// Checks every key and reports all errors at once.
tl::expected<Settings, FieldErrors>
ParseSettings(const std::string& aText);

// The values in force, as a settings file.
std::string
ToJsonText(const Settings& aSettings);

} // namespace porttiller
