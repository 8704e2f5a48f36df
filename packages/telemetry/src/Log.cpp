#include "porttiller/telemetry/Log.h"

#include "LogSinkPriv.h"

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
#include <unistd.h>
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

// Builds the text of one line, field by field.
class LineWriter
{
public:
  LineWriter(const Poco::Timestamp& aTime, LogLevel aLevel, const char* aEvent)
  {
    mPrinter.startObject();
    Add("time",
        Poco::DateTimeFormatter::format(
          aTime, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT));
    Add("level", std::string(ToText(aLevel)));
    Add("box", LogBox());
    Add("event", std::string(aEvent));
  }

  template<typename T>
  void Add(const char* aName, const T& aValue)
  {
    mPrinter.key(aName);
    mPrinter.value(aValue);
  }

  std::string Take()
  {
    mPrinter.endObject();
    return mText.str();
  }

private:
  std::ostringstream mText;
  Poco::JSON::PrintHandler mPrinter{ mText };
};

LogSink&
StandardOutput()
{
  static LogSink sink(STDOUT_FILENO, [](std::int64_t aLines) {
    LineWriter line({}, LogLevel::kWarning, "log_lines_dropped");
    line.Add("lines", static_cast<Poco::Int64>(aLines));
    return line.Take();
  });
  return sink;
}

// In place of easylogging's own output, which blocks.
class SinkCallback : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    StandardOutput().Write(aData->logMessage()->message());
  }
};

} // namespace

struct LogLine::Writer : LineWriter
{
  using LineWriter::LineWriter;
};

void
SetUpLog(const std::string& aBox, const std::string& aLevel)
{
  LogBox() = aBox;
  // Both do nothing the second time.
  el::Helpers::installLogDispatchCallback<SinkCallback>("sink");
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  SetLogLevel(aLevel);
}

void
SetLogLevel(const std::string& aLevel)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
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

std::int64_t
DroppedLogLines()
{
  return StandardOutput().Dropped();
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
  mWriter = std::make_unique<Writer>(now, aLevel, aEvent);
  if (*leftOut > 0) {
    With("left_out", *leftOut);
  }
}

LogLine&
LogLine::With(const char* aName, const std::string& aValue)
{
  if (mWriter) {
    mWriter->Add(aName, aValue);
  }
  return *this;
}

LogLine&
LogLine::With(const char* aName, std::int64_t aValue)
{
  if (mWriter) {
    mWriter->Add(aName, static_cast<Poco::Int64>(aValue));
  }
  return *this;
}

LogLine::~LogLine()
{
  if (!mWriter) {
    return;
  }
  const auto text = mWriter->Take();
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
