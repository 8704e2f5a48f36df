#include "porttiller/hop/ServerSignals.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <algorithm>
#include <vector>

namespace porttiller {

namespace {

constexpr std::size_t kMaxRateLength = 16;

std::vector<std::string>
ValuesOf(const HttpHeaders& aHeaders, const std::string& aName)
{
  std::vector<std::string> values;
  for (const auto& header : aHeaders) {
    if (!aName.empty() && Poco::icompare(header.mName, aName) == 0) {
      values.push_back(header.mValue);
    }
  }
  return values;
}

} // namespace

std::optional<double>
ParseRate(std::string_view aText)
{
  const std::string text(aText);
  const auto isDigit = [](char aChar) { return aChar >= '0' && aChar <= '9'; };
  const auto points = std::count(text.begin(), text.end(), '.');
  const auto digits = std::count_if(text.begin(), text.end(), isDigit);
  double rate = 0.0;
  if (text.size() > kMaxRateLength || points > 1 || digits == 0 ||
      points + digits != static_cast<std::ptrdiff_t>(text.size()) ||
      !Poco::NumberParser::tryParseFloat(text, rate)) {
    return std::nullopt;
  }
  return rate;
}

ServerSignals
ReadServerSignals(const HttpHeaders& aHeaders, const EdgeHeaders& aNames)
{
  ServerSignals signals;
  const auto limits = ValuesOf(aHeaders, aNames.mServerLimit);
  if (limits.size() == 1) {
    signals.mLimit = ParseRate(limits.front());
  }
  signals.mUnreadableLimit = !limits.empty() && !signals.mLimit;
  const auto leaving = ValuesOf(aHeaders, aNames.mServerLeaving);
  signals.mLeaving =
    std::find(leaving.begin(), leaving.end(), "1") != leaving.end();
  return signals;
}

} // namespace porttiller
