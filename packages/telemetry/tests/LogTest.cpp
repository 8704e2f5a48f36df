#include "porttiller/telemetry/Log.h"

#include "porttiller/core/Time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <future>
#include <unistd.h>

using namespace porttiller;

namespace {

// Replaces standard output by a pipe during its lifetime.
class CapturedOutput
{
public:
  CapturedOutput()
    : mBefore(::dup(STDOUT_FILENO))
  {
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    mReader = ends[0];
    REQUIRE(::fcntl(mReader, F_SETFL, O_NONBLOCK) == 0);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
  }
  ~CapturedOutput()
  {
    ::dup2(mBefore, STDOUT_FILENO);
    ::close(mBefore);
    ::close(mReader);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  // What was written since the last call.
  std::string Text() const
  {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = ::read(mReader, buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

private:
  int mBefore;
  int mReader = -1;
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

// A pipe that nobody reads blocked each thread that logged, and with it the
// request that it held.
TEST_CASE(
  "A reader that stops blocks nobody, and lines are dropped and counted")
{
  constexpr std::size_t kLineBytes = 10'000;
  constexpr std::chrono::seconds kWait{ 10 };
  SetUpLog("box-a", "info");
  const auto before = DroppedLogLines();
  std::string text;
  bool blocked = false;
  {
    const CapturedOutput captured; // no checks: they print
    auto written = std::async(std::launch::async, [] {
      for (int i = 0; i < kLogLinesPerSecond; ++i) {
        LogLine(LogLevel::kInfo, "large")
          .With("text", std::string(kLineBytes, 'x'));
      }
    });
    blocked = written.wait_for(kWait) != std::future_status::ready;
    do {
      text += captured.Text();
    } while (written.wait_for(Millis(1)) != std::future_status::ready);
    LogLine(LogLevel::kInfo, "after").With("count", 1);
    text += captured.Text();
  }
  const auto dropped = DroppedLogLines() - before;
  CHECK(!blocked);
  CHECK(dropped > 0);
  CHECK(text.find("\"event\":\"after\"") != std::string::npos);
  CHECK(text.find("\"lines\":" + std::to_string(dropped)) != std::string::npos);
}
