// The daemon's settings file: read at the start, on SIGHUP and when it changes.
#pragma once

#include "porttiller/config/Settings.h"

#include <filesystem>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by main; used by its thread alone.
class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath);

  // Reads and checks the file. The error has a line for each problem.
  tl::expected<Settings, std::string> Read();
  // The file was written since Read was last called.
  bool Changed() const;

private:
  std::filesystem::file_time_type WrittenAt() const;

  const std::string mPath;
  std::filesystem::file_time_type mReadVersion;
};

// Takes over what can change while the daemon runs, and logs what cannot.
void
ApplyReloaded(const Settings& aInForce, const Settings& aReloaded);

} // namespace porttiller
