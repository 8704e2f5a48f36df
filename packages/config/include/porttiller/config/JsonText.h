// Parses and prints JSON objects. The parser accepts comments.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/config/StoreMessages.h"

#include <Poco/Exception.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace porttiller {

// On failure, returns one error that describes why aText is not a JSON object.
tl::expected<Poco::JSON::Object::Ptr, FieldErrors>
ParseJsonObject(const std::string& aText);

// Whether aText has as many closing as opening brackets, and an object at
// least: text that was cut has not.
bool
IsClosedJson(std::string_view aText);

// Stands for a value that cannot be parsed: of no type that a field has, and
// not null, which reads as an absent field.
inline constexpr std::string_view kUnreadableJson = "[null]";

// Replaces each number that does not fit a 64-bit type with kUnreadableJson, so
// that the rest of the text can be parsed.
std::string
ReplaceOutOfRangeNumbers(std::string aText);

// Prints the object on one line.
std::string
ToJsonText(const Poco::JSON::Object& aObject);

// Parses aText and passes the object to aReader. A Poco::Exception from the
// reader becomes a DecodeError.
template<typename Reader>
auto
DecodeJson(const std::string& aText, Reader aReader)
  -> Decoded<decltype(aReader(std::declval<Poco::JSON::Object&>()))>
{
  try {
    if (const auto json = ParseJsonObject(aText)) {
      return aReader(**json);
    }
  } catch (const Poco::Exception& e) {
    return tl::make_unexpected(DecodeError{ e.displayText() });
  }
  return tl::make_unexpected(DecodeError{ "not a JSON object" });
}

} // namespace porttiller
