// The settings of one daemon, from its JSON file. docs/CONFIG.md has each key.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

struct CallerSettings
{
  std::string mAddress = "127.0.0.1:8080";
  int mThreads = 128; // also the most connections served at once
  int mMaxBodyBytes = 1 << 20;
  int mMaxHeaders = 100;
  int mMaxHeaderBytes = 16 << 10;
};

struct PeerSettings
{
  std::string mHomeAddress = "127.0.0.1:8081";
  std::string mControlAddress = "127.0.0.1:8082";
  int mThreads = 256; // also the most connections from other boxes
  int mConnectionsPerBox = 16;
  // Control addresses asked for the configuration while the platform is away.
  std::vector<std::string> mSeeds;
};

struct TimingSettings
{
  Millis mDrain{ 10'000 }; // bound of a planned stop
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
  std::string mLogLevel = "info";
  TimingSettings mTiming;
};

// Checks every key and reports all errors at once.
tl::expected<Settings, FieldErrors>
ParseSettings(const std::string& aText);

// The values in force, as a settings file.
std::string
ToJsonText(const Settings& aSettings);

} // namespace porttiller
