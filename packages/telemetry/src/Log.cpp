#include "porttiller/telemetry/Log.h"

#include "porttiller/config/JsonText.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <easylogging++.h>
#include <map>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace porttiller {

namespace {

// Counts the lines of each event within the current second.
class RateLimit
{
public:
  // The number of lines left out before this one; -1 to leave it out too.
  std::int64_t Admit(const std::string& aEvent, std::int64_t aSecond)
  {
    const std::lock_guard lock(mMutex);
    auto& window = mWindows[aEvent];
    if (window.mSecond != aSecond) {
      window.mSecond = aSecond;
      window.mLines = 0;
    }
    if (++window.mLines > kLogLinesPerSecond) {
      ++window.mLeftOut;
      return -1;
    }
    const auto leftOut = window.mLeftOut;
    window.mLeftOut = 0;
    return leftOut;
  }

private:
  struct Window
  {
    std::int64_t mSecond = 0;
    int mLines = 0;
    std::int64_t mLeftOut = 0;
  };

  std::mutex mMutex;
  std::map<std::string, Window> mWindows; // event names are few and fixed
};

RateLimit&
SharedRateLimit()
{
  static RateLimit limit;
  return limit;
}

std::string&
BoxField()
{
  static std::string box;
  return box;
}

el::Level
ToEl(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return el::Level::Debug;
    case LogLevel::kInfo:
      return el::Level::Info;
    case LogLevel::kWarning:
      return el::Level::Warning;
    case LogLevel::kError:
      break;
  }
  return el::Level::Error;
}

const char*
ToText(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

} // namespace

void
SetUpLog(const std::string& aBox, const std::string& aLevel)
{
  BoxField() = aBox;
  SetLogLevel(aLevel);
}

void
SetLogLevel(const std::string& aLevel)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  bool enabled = false;
  for (const auto level : { LogLevel::kDebug,
                            LogLevel::kInfo,
                            LogLevel::kWarning,
                            LogLevel::kError }) {
    enabled = enabled || aLevel == ToText(level);
    configuration.set(
      ToEl(level), el::ConfigurationType::Enabled, enabled ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void
LogException(const std::string& aWhat)
{
  LogLine(LogLevel::kError, "handler_failed").With("error", aWhat);
}

LogLine::LogLine(LogLevel aLevel, const char* aEvent)
  : mLevel(aLevel)
  , mEvent(aEvent)
  , mFields(Poco::JSON_PRESERVE_KEY_ORDER)
{
}

LogLine&
LogLine::With(const char* aName, const std::string& aValue)
{
  mFields.set(aName, aValue);
  return *this;
}

LogLine&
LogLine::With(const char* aName, std::int64_t aValue)
{
  mFields.set(aName, aValue);
  return *this;
}

LogLine::~LogLine()
{
  const Poco::Timestamp now;
  const auto leftOut = SharedRateLimit().Admit(mEvent, now.epochTime());
  if (leftOut < 0) {
    return;
  }
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("time",
           Poco::DateTimeFormatter::format(
             now, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT));
  line.set("level", ToText(mLevel));
  line.set("box", BoxField());
  line.set("event", mEvent);
  for (const auto& [name, value] : mFields) {
    line.set(name, value);
  }
  if (leftOut > 0) {
    line.set("left_out", leftOut);
  }
  const auto text = ToJsonText(line);
  switch (mLevel) {
    case LogLevel::kDebug:
      LOG(DEBUG) << text;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << text;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << text;
      break;
    case LogLevel::kError:
      LOG(ERROR) << text;
      break;
  }
}

} // namespace porttiller
