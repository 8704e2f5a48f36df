#include "porttiller/hop/ServerHints.h"

#include <Poco/StringTokenizer.h>
#include <algorithm>

namespace porttiller {

namespace {

constexpr const char* kBetween = " ";
constexpr const char* kNoStart = "-";
constexpr std::size_t kFields = 4; // service, id, start and age
// No hint is used that is older.
constexpr std::uint64_t kMaxAgeMs = 60'000;

} // namespace

std::string
EncodeHints(const ServerHints& aHints)
{
  std::string text;
  for (const auto& hint : aHints) {
    const auto& service = hint.mService.Value();
    const auto& id = hint.mServer.Id().Value();
    if (!IsToken(service) || !IsToken(id)) {
      continue;
    }
    const auto start = hint.mServer.StartMs();
    text += text.empty() ? "" : kBetween;
    text += service + kBetween + id + kBetween +
            (start ? std::to_string(*start) : kNoStart) + kBetween +
            std::to_string(std::max<Millis::rep>(0, hint.mAge.count()));
  }
  return text;
}

ServerHints
DecodeHints(const std::string& aText)
{
  ServerHints hints;
  const Poco::StringTokenizer fields(aText, kBetween);
  for (std::size_t i = 0;
       i + kFields <= fields.count() && hints.size() < kMaxHints;
       i += kFields) {
    const auto start = ParseUnsigned(fields[i + 2]);
    const auto age = ParseUnsigned(fields[i + 3]);
    const bool startFits =
      start ? *start <= INT64_MAX : fields[i + 2] == kNoStart;
    if (!IsToken(fields[i]) || !IsToken(fields[i + 1]) || !startFits || !age ||
        *age > kMaxAgeMs) {
      continue;
    }
    hints.push_back({ .mService = ServiceName(fields[i]),
                      .mServer = ServerIncarnation(
                        BackendServerName(fields[i + 1]),
                        start ? std::optional(static_cast<std::int64_t>(*start))
                              : std::nullopt),
                      .mAge = Millis(static_cast<Millis::rep>(*age)) });
  }
  return hints;
}

} // namespace porttiller
