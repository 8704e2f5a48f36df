// Lists of the platform's store, among whose items other programs write, too.
#pragma once

#include "porttiller/config/JsonText.h"
#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/UnreadableObject.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// An item that cannot be read affects no other.
using ItemResult = tl::expected<Object, UnreadableObject>;

tl::unexpected<UnreadableObject>
Unreadable(UnreadableObject aObject, UnreadableReason aReason);

DecodeError
ToDecodeError(const UnreadableObject& aObject);

void
AddItem(ItemResult aItem, ObjectDelta& aDelta);

// The field as a string or an unsigned integer; empty if it is neither.
std::string
TextIn(const Poco::JSON::Object& aItem, const char* aName);
std::optional<std::uint64_t>
UnsignedIn(const Poco::JSON::Object& aItem, const char* aName);

// How deep the value of a field of an item may be nested. With the brackets
// around it this is below what ParseJsonObject accepts.
inline constexpr std::size_t kMaxItemDepth = 48;

// Replaces each value that stands within aLevel brackets and is nested deeper
// than kMaxItemDepth with kUnreadableJson. Takes text of any depth.
std::string
ReplaceDeepValues(std::string aText, std::size_t aLevel);

// Replaces invalid UTF-8, and numbers that do not fit a 64-bit type.
std::string
ReplaceInvalidText(const std::string& aText);

// Like DecodeJson, for text with items whose fields stand within aLevel
// brackets. A field that cannot be parsed makes its own item unreadable and no
// other.
template<typename Reader>
auto
DecodeItems(const std::string& aText, std::size_t aLevel, Reader aReader)
{
  const auto text = ReplaceDeepValues(aText, aLevel);
  auto read = DecodeJson(text, aReader);
  return read ? read : DecodeJson(ReplaceInvalidText(text), aReader);
}

} // namespace porttiller
