#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <iostream>
#include <sstream>

using namespace porttiller;

namespace {

// Captures standard output during its lifetime.
class CapturedOutput
{
public:
  CapturedOutput()
    : mBefore(std::cout.rdbuf(mText.rdbuf()))
  {
  }
  ~CapturedOutput() { std::cout.rdbuf(mBefore); }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::string Text() const { return mText.str(); }

private:
  std::ostringstream mText;
  std::streambuf* mBefore;
};

std::size_t
CountLines(const std::string& aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}

} // namespace

TEST_CASE("A line is one JSON object with escaped strings")
{
  SetUpLog("box-a", "info");
  const CapturedOutput captured;
  LogLine(LogLevel::kInfo, "escaped")
    .With("text", "a \"quoted\"\nline")
    .With("count", 7);
  const auto text = captured.Text();
  CHECK(CountLines(text) == 1);
  CHECK(text.find("\"box\":\"box-a\"") != std::string::npos);
  CHECK(text.find("\"event\":\"escaped\"") != std::string::npos);
  CHECK(text.find("\"text\":\"a \\\"quoted\\\"\\nline\"") != std::string::npos);
  CHECK(text.find("\"count\":7") != std::string::npos);
}

TEST_CASE("A line below the level is not written")
{
  SetUpLog("box-a", "warning");
  const CapturedOutput captured;
  LogLine(LogLevel::kInfo, "too_low").With("count", 1);
  CHECK(captured.Text().empty());
}

TEST_CASE("A repeated event is limited to kLogLinesPerSecond")
{
  SetUpLog("box-a", "info");
  const CapturedOutput captured;
  constexpr int kLines = 50 * kLogLinesPerSecond;
  for (int i = 0; i < kLines; ++i) {
    LogLine(LogLevel::kInfo, "repeated").With("count", i);
  }
  // The loop may run into the next second.
  CHECK(CountLines(captured.Text()) <= 2 * kLogLinesPerSecond);
}
