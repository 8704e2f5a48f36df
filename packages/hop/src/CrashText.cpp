#include "porttiller/hop/CrashText.h"

#include "porttiller/core/Ids.h"

#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr char kAfterCrashFlag = 'a';
constexpr char kClearedFlag = 'c';
constexpr std::size_t kFields = 3;

std::optional<CrashEvent>
DecodeCrash(const std::string& aText, TimePoint aNow)
{
  const Poco::StringTokenizer fields(aText, ":");
  std::uint64_t id = 0;
  if (fields.count() != kFields ||
      !Poco::NumberParser::tryParseHex64(fields[0], id)) {
    return std::nullopt;
  }
  const auto age = ParseUnsigned(fields[1]);
  if (!age || *age > static_cast<std::uint64_t>(kMaxCrashAge.count())) {
    return std::nullopt;
  }
  const auto has = [&](char aFlag) {
    return fields[2].find(aFlag) != std::string::npos;
  };
  return CrashEvent{ .mId = id,
                     .mAt = aNow - Millis(*age),
                     .mAfterCrash = has(kAfterCrashFlag),
                     .mCleared = has(kClearedFlag) };
}

} // namespace

std::string
EncodeCrashes(const std::vector<CrashEvent>& aEvents, TimePoint aNow)
{
  std::string text;
  for (const auto& event : aEvents) {
    const auto age = std::max<Millis::rep>(
      0, std::chrono::duration_cast<Millis>(aNow - event.mAt).count());
    text += (text.empty() ? "" : ",") +
            Poco::NumberFormatter::formatHex(event.mId) + ":" +
            std::to_string(age) + ":" +
            (event.mAfterCrash ? std::string(1, kAfterCrashFlag) : "") +
            (event.mCleared ? std::string(1, kClearedFlag) : "");
  }
  return text;
}

std::vector<CrashEvent>
DecodeCrashes(std::string_view aText, TimePoint aNow)
{
  std::vector<CrashEvent> events;
  for (const auto& item : Poco::StringTokenizer(std::string(aText), ",")) {
    if (events.size() >= kMaxDecodedCrashes) {
      break;
    }
    if (auto event = DecodeCrash(item, aNow)) {
      events.push_back(*event);
    }
  }
  return events;
}

} // namespace porttiller
