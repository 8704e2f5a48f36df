// JSON text to objects and back; comments are allowed on the way in.
#pragma once

#include "porttiller/config/FieldReader.h"

#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// The one error says where the text stops being a JSON object.
tl::expected<Poco::JSON::Object::Ptr, FieldErrors>
ParseJsonObject(const std::string& aText);

// On one line.
std::string
ToJsonText(const Poco::JSON::Object& aObject);

} // namespace porttiller
