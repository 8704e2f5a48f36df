#include "porttiller/config/JsonText.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace porttiller {

namespace {

// The parser and the values that it makes recurse once for each level.
constexpr std::size_t kMaxDepth = 64;

// POCO's parser drops block comments only; blanks line comments for it.
std::string
WithoutLineComments(std::string aText)
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

} // namespace

tl::expected<Poco::JSON::Object::Ptr, FieldErrors>
ParseJsonObject(const std::string& aText)
{
  try {
    Poco::JSON::Parser parser;
    parser.setAllowComments(true);
    parser.setDepth(kMaxDepth);
    const auto value = parser.parse(WithoutLineComments(aText));
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
      return tl::make_unexpected(
        FieldErrors{ { "(document)", "must be a JSON object" } });
    }
    return value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return tl::make_unexpected(
      FieldErrors{ { "(document)", "is not JSON: " + e.displayText() } });
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
