// Structured log: each line is a JSON object with an event name and fields.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace porttiller {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError
};

// Call once, before the first line. aLevel is "debug", "info", "warning" or
// "error", as in Settings.
void
SetUpLog(const std::string& aBox, const std::string& aLevel);

// Applies to later lines. Other threads may log during the call.
void
SetLogLevel(const std::string& aLevel);

// Lines that were dropped because the reader of standard output did not take
// them. Writing a line never blocks.
std::int64_t
DroppedLogLines();

// One line, written by the destructor. aEvent must be a string literal. Each
// event is limited to kLogLinesPerSecond; the next line written for it has the
// number of lines left out.
class LogLine
{
public:
  LogLine(LogLevel aLevel, const char* aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& With(const char* aName, const std::string& aValue);
  LogLine& With(const char* aName, std::int64_t aValue);

private:
  struct Writer;

  const LogLevel mLevel;
  std::unique_ptr<Writer> mWriter; // null: the line is not written
};

// Logs an exception that left a request handler, which is a bug.
void
LogException(const std::string& aWhat);

inline constexpr int kLogLinesPerSecond = 20;

} // namespace porttiller
