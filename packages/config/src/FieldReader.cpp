#include "porttiller/config/FieldReader.h"

#include "porttiller/core/Ids.h"

#include <Poco/JSON/Array.h>
#include <arpa/inet.h>

namespace porttiller {

namespace {

constexpr std::uint64_t kMaxPort = 65535;

bool
IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const auto port = ParseUnsigned(aText.substr(colon + 1));
  return port && *port <= kMaxPort;
}

bool
IsRemoteAddress(const std::string& aText)
{
  // Of names and of IP addresses.
  constexpr const char* kHostChars = "abcdefghijklmnopqrstuvwxyz"
                                     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "0123456789.-_:[]";
  const auto colon = aText.rfind(':');
  return IsAddress(aText) && ParseUnsigned(aText.substr(colon + 1)) != 0 &&
         aText.find_first_not_of(kHostChars) == std::string::npos;
}

bool
IsEndpoint(const std::string& aText)
{
  in_addr address{};
  return IsRemoteAddress(aText) &&
         inet_pton(
           AF_INET, aText.substr(0, aText.rfind(':')).c_str(), &address) == 1;
}

} // namespace

std::string
ToText(const FieldErrors& aErrors)
{
  std::string text;
  for (const auto& error : aErrors) {
    text += error.mPath + ": " + error.mProblem + "\n";
  }
  return text;
}

FieldReader::FieldReader(Poco::JSON::Object::Ptr aObject,
                         std::string aPath,
                         FieldErrors& aErrors)
  : mObject(std::move(aObject))
  , mPath(std::move(aPath))
  , mErrors(aErrors)
{
}

std::string
FieldReader::PathOf(const std::string& aName) const
{
  return mPath.empty() ? aName : mPath + "." + aName;
}

void
FieldReader::Fail(const std::string& aName, const std::string& aProblem)
{
  mErrors.push_back({ PathOf(aName), aProblem });
}

bool
FieldReader::Has(const std::string& aName) const
{
  return mObject->has(aName) && !mObject->isNull(aName);
}

std::optional<std::string>
FieldReader::ReadString(const std::string& aName)
{
  mKnown.insert(aName);
  const auto value = mObject->get(aName);
  if (!value.isString()) {
    Fail(aName, "must be a string");
    return std::nullopt;
  }
  auto text = value.extract<std::string>();
  if (text.empty()) {
    Fail(aName, "must not be empty");
    return std::nullopt;
  }
  return text;
}

std::string
FieldReader::String(const std::string& aName)
{
  if (!Has(aName)) {
    mKnown.insert(aName);
    Fail(aName, "is required");
    return {};
  }
  return ReadString(aName).value_or("");
}

std::string
FieldReader::StringOr(const std::string& aName, const std::string& aDefault)
{
  mKnown.insert(aName);
  return Has(aName) ? ReadString(aName).value_or(aDefault) : aDefault;
}

std::string
FieldReader::Address(const std::string& aName)
{
  auto text = String(aName);
  if (!text.empty() && !IsAddress(text)) {
    Fail(aName, "must be \"ip:port\"");
  }
  return text;
}

std::string
FieldReader::RemoteAddress(const std::string& aName)
{
  auto text = String(aName);
  if (!text.empty() && !IsRemoteAddress(text)) {
    Fail(aName, "must be \"host:port\" with a port from 1 to 65535");
  }
  return text;
}

std::string
FieldReader::Endpoint(const std::string& aName)
{
  auto text = String(aName);
  if (!text.empty() && !IsEndpoint(text)) {
    Fail(aName, "must be an IPv4 \"ip:port\" with a port from 1 to 65535");
  }
  return text;
}

std::string
FieldReader::AddressOr(const std::string& aName, const std::string& aDefault)
{
  mKnown.insert(aName);
  return Has(aName) ? Address(aName) : aDefault;
}

std::optional<std::int64_t>
FieldReader::ReadInteger(const std::string& aName, IntegerRange aRange)
{
  const auto value = mObject->get(aName);
  if (!value.isInteger() || value.isBoolean()) {
    Fail(aName, "must be an integer");
    return std::nullopt;
  }
  std::int64_t number = 0;
  bool fits = true;
  try {
    number = value.convert<std::int64_t>();
  } catch (const Poco::RangeException&) { // above 2^63 - 1
    fits = false;
  }
  if (!fits || number < aRange.mMin || number > aRange.mMax) {
    Fail(aName,
         "must be from " + std::to_string(aRange.mMin) + " to " +
           std::to_string(aRange.mMax));
    return std::nullopt;
  }
  return number;
}

std::int64_t
FieldReader::Integer(const std::string& aName, IntegerRange aRange)
{
  mKnown.insert(aName);
  if (!Has(aName)) {
    Fail(aName, "is required");
    return aRange.mMin;
  }
  return ReadInteger(aName, aRange).value_or(aRange.mMin);
}

std::int64_t
FieldReader::IntegerOr(const std::string& aName,
                       IntegerRange aRange,
                       std::int64_t aDefault)
{
  mKnown.insert(aName);
  return Has(aName) ? ReadInteger(aName, aRange).value_or(aDefault) : aDefault;
}

double
FieldReader::NumberOr(const std::string& aName,
                      double aMin,
                      double aMax,
                      double aDefault)
{
  mKnown.insert(aName);
  if (!Has(aName)) {
    return aDefault;
  }
  const auto value = mObject->get(aName);
  const bool numeric = value.isNumeric() && !value.isBoolean();
  const double number = numeric ? value.convert<double>() : aMin;
  if (!numeric || number < aMin || number > aMax) {
    Fail(aName,
         "must be a number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
    return aDefault;
  }
  return number;
}

std::optional<bool>
FieldReader::OptionalBool(const std::string& aName)
{
  mKnown.insert(aName);
  if (!Has(aName)) {
    return std::nullopt;
  }
  const auto value = mObject->get(aName);
  if (!value.isBoolean()) {
    Fail(aName, "must be true or false");
    return std::nullopt;
  }
  return value.extract<bool>();
}

std::vector<std::string>
FieldReader::Strings(const std::string& aName)
{
  mKnown.insert(aName);
  std::vector<std::string> texts;
  if (!Has(aName)) {
    return texts;
  }
  const auto array = mObject->getArray(aName);
  if (array.isNull()) {
    Fail(aName, "must be an array of strings");
    return texts;
  }
  for (const auto& item : *array) {
    if (!item.isString()) {
      Fail(aName, "must be an array of strings");
      return {};
    }
    texts.push_back(item.extract<std::string>());
  }
  return texts;
}

std::vector<std::string>
FieldReader::Addresses(const std::string& aName)
{
  auto texts = Strings(aName);
  for (const auto& text : texts) {
    if (!IsAddress(text)) {
      Fail(aName, "must hold \"ip:port\" only");
      return {};
    }
  }
  return texts;
}

std::vector<FieldReader>
FieldReader::Children(const std::string& aName)
{
  mKnown.insert(aName);
  std::vector<FieldReader> children;
  if (!Has(aName)) {
    return children;
  }
  const auto array = mObject->getArray(aName);
  for (unsigned i = 0; !array.isNull() && i < array->size(); ++i) {
    const auto path = PathOf(aName) + "[" + std::to_string(i) + "]";
    if (const auto child = array->getObject(i)) {
      children.push_back({ child, path, mErrors });
    }
  }
  if (array.isNull() || children.size() != array->size()) {
    Fail(aName, "must be an array of objects");
  }
  return children;
}

FieldReader
FieldReader::Child(const std::string& aName)
{
  mKnown.insert(aName);
  auto child = Has(aName) ? mObject->getObject(aName)
                          : Poco::JSON::Object::Ptr(new Poco::JSON::Object);
  if (child.isNull()) {
    Fail(aName, "must be an object");
    child = new Poco::JSON::Object;
  }
  return { child, PathOf(aName), mErrors };
}

void
FieldReader::RejectUnknownKeys()
{
  for (const auto& [name, value] : *mObject) {
    if (!mKnown.contains(name)) {
      Fail(name, "is not a known key");
    }
  }
}

} // namespace porttiller
