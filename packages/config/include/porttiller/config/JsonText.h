// JSON text to objects and back; comments are allowed on the way in.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/config/StoreMessages.h"

#include <Poco/Exception.h>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// The one error says where the text stops being a JSON object.
tl::expected<Poco::JSON::Object::Ptr, FieldErrors>
ParseJsonObject(const std::string& aText);

// With null for each number that no 64-bit type can hold, so that the rest of
// the text can be read.
std::string
WithoutUnfitNumbers(std::string aText);

// On one line.
std::string
ToJsonText(const Poco::JSON::Object& aObject);

// Runs a reader over the object in aText; what the reader throws is an error.
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
    return tl::make_unexpected(DialectError{ e.displayText() });
  }
  return tl::make_unexpected(DialectError{ "the text is no JSON object" });
}

} // namespace porttiller
