// Reads named, typed, range-checked fields from a JSON object and collects
// every error with its field's path, so that one pass reports them all.
#pragma once

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

// One thing wrong with a document, e.g. { "callers.threads", "must be ..." }.
struct FieldError
{
  std::string mPath;
  std::string mProblem;

  friend auto operator<=>(const FieldError&, const FieldError&) = default;
};

using FieldErrors = std::vector<FieldError>;

// Every error on a line of its own: "path: problem".
std::string
ToText(const FieldErrors& aErrors);

// An integer's bounds, both inclusive.
struct IntegerRange
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

// Reads one JSON object. Owned by the parsing function; holds a reference to
// the caller's list of errors.
class FieldReader
{
public:
  FieldReader(Poco::JSON::Object::Ptr aObject,
              std::string aPath,
              FieldErrors& aErrors);

  // A required string that is not empty.
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
  // A required IPv4 "ip:port" that can be connected to.
  std::string Endpoint(const std::string& aName);
  std::string AddressOr(const std::string& aName, const std::string& aDefault);
  // The objects of an array; none when it is absent.
  std::vector<FieldReader> Children(const std::string& aName);
  // An object within this one; an empty one when absent.
  FieldReader Child(const std::string& aName);
  // False also for null: a template has it where a value is missing.
  bool Has(const std::string& aName) const;

  // Call last: every key that no call above named is an error.
  void RefuseUnknown();
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
