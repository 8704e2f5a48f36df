#include "porttiller/telemetry/Log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/PrintHandler.h>
#include <Poco/Timestamp.h>
#include <atomic>
#include <easylogging++.h>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace porttiller {

namespace {

// Counts the lines of each event within the current second.
class RateLimit
{
public:
  // The number of lines left out before this one; null to leave it out too.
  std::optional<std::int64_t> Admit(const char* aEvent, std::int64_t aSecond)
  {
    const std::lock_guard lock(mMutex);
    auto& window = mWindows[aEvent];
    if (window.mSecond != aSecond) {
      window.mSecond = aSecond;
      window.mLines = 0;
    }
    if (++window.mLines > kLogLinesPerSecond) {
      ++window.mLeftOut;
      return std::nullopt;
    }
    return std::exchange(window.mLeftOut, 0);
  }

private:
  struct Window
  {
    std::int64_t mSecond = 0;
    int mLines = 0;
    std::int64_t mLeftOut = 0;
  };

  std::mutex mMutex;
  // Event names are few, and literals.
  std::map<std::string_view, Window> mWindows;
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

std::atomic<LogLevel>&
LowestLevel()
{
  static std::atomic<LogLevel> level{ LogLevel::kInfo };
  return level;
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

// The text of one line, written as its fields come.
struct LogLine::Writer
{
  std::ostringstream mText;
  Poco::JSON::PrintHandler mPrinter{ mText };
};

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
    if (!enabled && aLevel == ToText(level)) {
      enabled = true;
      LowestLevel() = level;
    }
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

// A line that is left out costs no more than this: on a box of a tenth of a
// core, lines that were made and then dropped took 12% of a loaded day's
// processor time (sampled stacks).
LogLine::LogLine(LogLevel aLevel, const char* aEvent)
  : mLevel(aLevel)
{
  if (aLevel < LowestLevel()) {
    return;
  }
  const Poco::Timestamp now;
  const auto leftOut = SharedRateLimit().Admit(aEvent, now.epochTime());
  if (!leftOut) {
    return;
  }
  mWriter = std::make_unique<Writer>();
  mWriter->mPrinter.startObject();
  With("time",
       Poco::DateTimeFormatter::format(
         now, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT));
  With("level", ToText(aLevel));
  With("box", BoxField());
  With("event", aEvent);
  if (*leftOut > 0) {
    With("left_out", *leftOut);
  }
}

LogLine&
LogLine::With(const char* aName, const std::string& aValue)
{
  if (mWriter) {
    mWriter->mPrinter.key(aName);
    mWriter->mPrinter.value(aValue);
  }
  return *this;
}

LogLine&
LogLine::With(const char* aName, std::int64_t aValue)
{
  if (mWriter) {
    mWriter->mPrinter.key(aName);
    mWriter->mPrinter.value(static_cast<Poco::Int64>(aValue));
  }
  return *this;
}

LogLine::~LogLine()
{
  if (!mWriter) {
    return;
  }
  mWriter->mPrinter.endObject();
  const auto text = mWriter->mText.str();
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
