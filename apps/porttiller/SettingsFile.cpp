#include "SettingsFile.h"

#include "porttiller/telemetry/Log.h"

#include <fstream>
#include <sstream>
#include <system_error>

namespace porttiller {

SettingsFile::SettingsFile(std::string aPath)
  : mPath(std::move(aPath))
{
}

std::filesystem::file_time_type
SettingsFile::ModifiedAt() const
{
  std::error_code error;
  const auto time = std::filesystem::last_write_time(mPath, error);
  return error ? mReadModifiedAt : time; // a missing file is no change
}

bool
SettingsFile::Changed() const
{
  return ModifiedAt() != mReadModifiedAt;
}

tl::expected<Settings, std::string>
SettingsFile::Read()
{
  mReadModifiedAt = ModifiedAt();
  std::ifstream stream(mPath);
  if (!stream) {
    return tl::make_unexpected("cannot read " + mPath + "\n");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  auto settings = ParseSettings(text.str());
  if (!settings) {
    return tl::make_unexpected(ToText(settings.error()));
  }
  return std::move(*settings);
}

void
ApplyReloaded(const Settings& aInForce, const Settings& aReloaded)
{
  if (aReloaded.mLogLevel != aInForce.mLogLevel) {
    SetLogLevel(aReloaded.mLogLevel);
  }
  auto others = aReloaded;
  others.mLogLevel = aInForce.mLogLevel;
  // Not compared: it is set only at the first start of a box, and later
  // versions of the file always differ in it.
  others.mRegistration.mFirstStart = aInForce.mRegistration.mFirstStart;
  const bool needsRestart = ToJsonText(others) != ToJsonText(aInForce);
  LogLine(LogLevel::kInfo, "settings_reloaded")
    .With("log_level", aReloaded.mLogLevel)
    .With("other_changes",
          needsRestart ? "in force at the next start" : "none");
}

} // namespace porttiller
