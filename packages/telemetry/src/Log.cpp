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

// Limits the lines of each event to kLogLinesPerSecond.
class RateLimit
{
public:
  // Returns the number of lines left out before this one, or null if this one
  // is left out too.
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
  // By event name. Event names are few, and literals, so the views stay valid.
  std::map<std::string_view, Window> mWindows;
};

RateLimit&
SharedRateLimit()
{
  static RateLimit limit;
  return limit;
}

std::string&
LogBox()
{
  static std::string box;
  return box;
}

std::atomic<LogLevel>&
MinLevel()
{
  static std::atomic<LogLevel> level{ LogLevel::kInfo };
  return level;
}

el::Level
ToEasyLoggingLevel(LogLevel aLevel)
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

// Builds the text of one line, field by field.
struct LogLine::Writer
{
  std::ostringstream mText;
  Poco::JSON::PrintHandler mPrinter{ mText };
};

void
SetUpLog(const std::string& aBox, const std::string& aLevel)
{
  LogBox() = aBox;
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
      MinLevel() = level;
    }
    configuration.set(ToEasyLoggingLevel(level),
                      el::ConfigurationType::Enabled,
                      enabled ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void
LogException(const std::string& aWhat)
{
  LogLine(LogLevel::kError, "handler_failed").With("error", aWhat);
}

// Decides here whether the line is written, before any formatting: on a box
// with a tenth of a core under load, formatting lines that are then dropped
// takes 12% of the CPU time.
LogLine::LogLine(LogLevel aLevel, const char* aEvent)
  : mLevel(aLevel)
{
  if (aLevel < MinLevel()) {
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
  With("box", LogBox());
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
