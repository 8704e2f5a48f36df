#include "porttiller/config/ItemsJson.h"

#include "JsonScanPriv.h"

#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

namespace porttiller {

tl::unexpected<UnreadableObject>
Unreadable(UnreadableObject aObject, UnreadableReason aReason)
{
  aObject.mReason = aReason;
  return tl::make_unexpected(std::move(aObject));
}

DecodeError
ToDecodeError(const UnreadableObject& aObject)
{
  return { std::string("unreadable ") + ToText(aObject.mReason) };
}

void
AddItem(ItemResult aItem, ObjectDelta& aDelta)
{
  if (aItem) {
    aDelta.mObjects.push_back(std::move(*aItem));
  } else {
    aDelta.mUnreadable.push_back(std::move(aItem.error()));
  }
}

std::string
TextIn(const Poco::JSON::Object& aItem, const char* aName)
{
  const auto value = aItem.get(aName);
  return value.isString() ? value.extract<std::string>() : "";
}

std::optional<std::uint64_t>
UnsignedIn(const Poco::JSON::Object& aItem, const char* aName)
{
  const auto value = aItem.get(aName);
  if (!value.isInteger() || value.isBoolean()) {
    return std::nullopt;
  }
  try {
    return value.convert<std::uint64_t>();
  } catch (const Poco::RangeException&) {
    return std::nullopt; // negative
  }
}

std::string
ReplaceDeepValues(std::string aText, std::size_t aLevel)
{
  std::string replaced;
  std::size_t copied = 0; // of aText
  std::size_t begin = 0;  // of the value within aLevel brackets
  std::size_t depth = 0;
  bool tooDeep = false;
  ScanOutsideStrings(aText, [&](std::size_t aAt) {
    if (IsOpening(aText[aAt])) {
      begin = depth == aLevel ? aAt : begin;
      ++depth;
      tooDeep = tooDeep || depth > aLevel + kMaxItemDepth;
    } else if (IsClosing(aText[aAt]) && depth > 0) {
      --depth;
      if (depth == aLevel && tooDeep) {
        replaced.append(aText, copied, begin - copied).append(kUnreadableJson);
        copied = aAt + 1;
        tooDeep = false;
      }
    }
  });
  return copied == 0 ? std::move(aText) : replaced + aText.substr(copied);
}

std::string
ReplaceInvalidText(const std::string& aText)
{
  const Poco::UTF8Encoding encoding;
  std::string valid;
  Poco::TextConverter(encoding, encoding).convert(aText, valid);
  return ReplaceOutOfRangeNumbers(std::move(valid));
}

} // namespace porttiller
