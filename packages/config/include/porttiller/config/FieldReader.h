// Reads named, typed, range-checked fields from a JSON object and collects all
// errors with the paths of their fields, so that one pass reports every error.
#pragma once

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

// An error in a document, e.g. { "callers.threads", "must be ..." }.
struct FieldError
{
  std::string mPath;
  std::string mProblem;

  friend auto operator<=>(const FieldError&, const FieldError&) = default;
};

using FieldErrors = std::vector<FieldError>;

// One line for each error: "path: problem".
std::string
ToText(const FieldErrors& aErrors);

// Inclusive bounds of an integer.
struct IntegerRange
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

// Reads one JSON object. Holds a reference to the caller's list of errors,
// which must outlive the reader.
class FieldReader
{
public:
  FieldReader(Poco::JSON::Object::Ptr aObject,
              std::string aPath,
              FieldErrors& aErrors);

  // A required, non-empty string.
  std::string String(const std::string& aName);
  std::string StringOr(const std::string& aName, const std::string& aDefault);
  std::int64_t Integer(const std::string& aName, IntegerRange aRange);
  std::int64_t IntegerOr(const std::string& aName,
                         IntegerRange aRange,
                         std::int64_t aDefault);
  // A number from aMin to aMax.
  double NumberOr(const std::string& aName,
                  double aMin,
                  double aMax,
                  double aDefault);
  std::optional<bool> OptionalBool(const std::string& aName);
  std::vector<std::string> Strings(const std::string& aName);
  std::vector<std::string> Addresses(const std::string& aName);
  // A required "ip:port".
  std::string Address(const std::string& aName);
  // A required "host:port" to connect to: a name or IP address and a port
  // from 1 to 65535.
  std::string RemoteAddress(const std::string& aName);
  // A required "ip:port" with an IPv4 address and a port other than 0.
  std::string Endpoint(const std::string& aName);
  std::string AddressOr(const std::string& aName, const std::string& aDefault);
  // The objects of an array; none if it is absent.
  std::vector<FieldReader> Children(const std::string& aName);
  // A nested object; an empty one if it is absent.
  FieldReader Child(const std::string& aName);
  // Also false for null, which templates write in place of a missing value.
  bool Has(const std::string& aName) const;

  // Adds an error for each key that was not read before; call it last.
  void RejectUnknownKeys();
  void Fail(const std::string& aName, const std::string& aProblem);

private:
  std::string PathOf(const std::string& aName) const;
  std::optional<std::int64_t> ReadInteger(const std::string& aName,
                                          IntegerRange aRange);
  std::optional<std::string> ReadString(const std::string& aName);

  Poco::JSON::Object::Ptr mObject;
  std::string mPath;
  FieldErrors& mErrors;
  std::set<std::string> mKnown;
};

} // namespace porttiller
