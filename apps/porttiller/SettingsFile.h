// The daemon's settings file: read at startup, on SIGHUP and when it changes.
#pragma once

#include "porttiller/config/Settings.h"

#include <filesystem>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by main. Not thread-safe.
class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath);

  // Reads and validates the file. The error has a line for each problem.
  tl::expected<Settings, std::string> Read();
  // Whether the file was modified since the last call of Read.
  bool Changed() const;

private:
  std::filesystem::file_time_type ModifiedAt() const;

  const std::string mPath;
  std::filesystem::file_time_type mReadModifiedAt; // of the version read
};

// Applies the log level, the one setting that can change at run time, and logs
// whether others need a restart.
void
ApplyReloaded(const Settings& aInForce, const Settings& aReloaded);

} // namespace porttiller
