// Log lines as JSON: one event name and typed fields a line.
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

// Call once, before any line. aLevel as in Settings: "debug" to "error".
void
SetUpLog(const std::string& aBox, const std::string& aLevel);

// From now on; any thread may log meanwhile.
void
SetLogLevel(const std::string& aLevel);

// One line, written when the object goes. aEvent is a literal. An event that
// repeats more often than kLogLinesPerSecond is counted instead, and the next
// line of it says how many were left out.
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
  std::unique_ptr<Writer> mWriter; // null: the line is left out
};

// A request handler threw: a fault of this program.
void
LogException(const std::string& aWhat);

inline constexpr int kLogLinesPerSecond = 20;

} // namespace porttiller
