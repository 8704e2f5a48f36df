#include "porttiller/config/JsonText.h"

#include "JsonScanPriv.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <string_view>

namespace porttiller {

namespace {

// Maximum nesting. The parser and its values recurse once per level, so deeper
// text could overflow the stack.
constexpr std::size_t kMaxDepth = 64;

// Replaces line comments with spaces: POCO's parser supports only block
// comments.
std::string
BlankLineComments(std::string aText)
{
  bool inString = false;
  bool inComment = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (inComment) {
      inComment = aText[i] != '\n';
      aText[i] = inComment ? ' ' : '\n';
    } else if (aText[i] == '\\' && inString) {
      ++i;
    } else if (aText[i] == '"') {
      inString = !inString;
    } else if (!inString && aText.compare(i, 2, "//") == 0) {
      inComment = true;
      aText[i] = ' ';
    }
  }
  return aText;
}

bool
IsDigit(char aEach)
{
  return aEach >= '0' && aEach <= '9';
}

bool
FitsIn64Bits(std::string_view aNumber)
{
  const auto* end = aNumber.data() + aNumber.size();
  const auto readsAs = [&](auto aValue) {
    return std::from_chars(aNumber.data(), end, aValue).ec == std::errc();
  };
  const bool real = aNumber.find_first_of(".eE") != std::string_view::npos;
  return real ? readsAs(double{})
              : readsAs(std::int64_t{}) || readsAs(std::uint64_t{});
}

// The first number at or after aFrom that does not fit a 64-bit type; empty if
// there is none. POCO's parser reads some of these as other values.
std::string_view
FindOutOfRangeNumber(std::string_view aText, std::size_t aFrom = 0)
{
  bool inString = false;
  for (auto i = aFrom; i < aText.size(); ++i) {
    if (aText[i] == '\\' && inString) {
      ++i;
    } else if (aText[i] == '"') {
      inString = !inString;
    } else if (!inString && (aText[i] == '-' || IsDigit(aText[i]))) {
      const auto end = aText.find_first_not_of("+-.0123456789eE", i);
      const auto number = aText.substr(i, end - i);
      if (!FitsIn64Bits(number)) {
        return number;
      }
      i += number.size() - 1;
    }
  }
  return {};
}

} // namespace

bool
IsClosedJson(std::string_view aText)
{
  std::int64_t depth = 0;
  bool opened = false;
  const bool whole = ScanOutsideStrings(aText, [&](std::size_t aAt) {
    opened = opened || IsOpening(aText[aAt]);
    depth += IsOpening(aText[aAt]) ? 1 : 0;
    depth -= IsClosing(aText[aAt]) ? 1 : 0;
  });
  return whole && opened && depth == 0;
}

std::string
ReplaceOutOfRangeNumbers(std::string aText)
{
  std::size_t from = 0;
  for (auto number = FindOutOfRangeNumber(aText); !number.empty();
       number = FindOutOfRangeNumber(aText, from)) {
    const auto at = static_cast<std::size_t>(number.data() - aText.data());
    aText.replace(at, number.size(), kUnreadableJson);
    from = at + kUnreadableJson.size();
  }
  return aText;
}

tl::expected<Poco::JSON::Object::Ptr, FieldErrors>
ParseJsonObject(const std::string& aText)
{
  const auto text = BlankLineComments(aText);
  if (const auto outOfRange = FindOutOfRangeNumber(text); !outOfRange.empty()) {
    return tl::make_unexpected(FieldErrors{
      { "(document)", "contains a number that is out of range" } });
  }
  try {
    Poco::JSON::Parser parser;
    parser.setAllowComments(true);
    parser.setDepth(kMaxDepth);
    const auto value = parser.parse(text);
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
      return tl::make_unexpected(
        FieldErrors{ { "(document)", "must be a JSON object" } });
    }
    return value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return tl::make_unexpected(
      FieldErrors{ { "(document)", "is not valid JSON: " + e.displayText() } });
  }
}

std::string
ToJsonText(const Poco::JSON::Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

} // namespace porttiller
