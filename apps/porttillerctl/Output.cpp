#include "Output.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/config/Resources.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <iomanip>
#include <iostream>

namespace porttiller::ctl {

namespace {

constexpr unsigned kIndent = 2;
constexpr int kColumnGap = 2;

// The spec, with the API keys of a workspace replaced by their number, as they
// are secrets.
Poco::JSON::Object::Ptr
ShownSpec(const Object& aObject)
{
  const auto parsed = ParseJsonObject(aObject.mSpecJson);
  if (!parsed) {
    return nullptr;
  }
  Poco::JSON::Object::Ptr spec = *parsed;
  if (aObject.mKey.mKind == kWorkspaceKind) {
    const auto keys = spec->getArray("keys");
    spec->remove("keys");
    spec->set("key_count", keys.isNull() ? 0 : keys->size());
  }
  return spec;
}

Poco::JSON::Object::Ptr
ToJson(const Object& aObject)
{
  Poco::JSON::Object::Ptr json =
    new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("kind", aObject.mKey.mKind);
  json->set("name", aObject.mKey.mName);
  json->set("version", aObject.mVersion);
  if (aObject.mDeleted) {
    json->set("deleted", true);
    return json;
  }
  const auto spec = ShownSpec(aObject);
  if (!spec.isNull()) {
    json->set("spec", spec);
  }
  return json;
}

Row
ToRow(const Object& aObject)
{
  const auto spec = aObject.mDeleted ? nullptr : ShownSpec(aObject);
  return { aObject.mKey.mKind,
           aObject.mKey.mName,
           std::to_string(aObject.mVersion),
           spec.isNull() ? "(deleted)" : ToJsonText(*spec) };
}

} // namespace

void
PrintTable(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      const auto width = last ? 0 : static_cast<int>(widths[i]) + kColumnGap;
      std::cout << std::left << std::setw(width) << row[i];
    }
    std::cout << "\n";
  }
  std::cout << std::flush;
}

void
PrintObject(const Object& aObject, Format aFormat)
{
  if (aFormat == Format::kJson) {
    ToJson(aObject)->stringify(std::cout, kIndent);
    std::cout << "\n" << std::flush;
    return;
  }
  PrintTable({ { "KIND", "NAME", "VERSION", "SPEC" }, ToRow(aObject) });
}

void
PrintObjects(const std::vector<Object>& aObjects, Format aFormat)
{
  if (aFormat == Format::kJson) {
    Poco::JSON::Array items;
    for (const auto& object : aObjects) {
      items.add(ToJson(object));
    }
    items.stringify(std::cout, kIndent);
    std::cout << "\n" << std::flush;
    return;
  }
  std::vector<Row> rows = { { "KIND", "NAME", "VERSION", "SPEC" } };
  for (const auto& object : aObjects) {
    rows.push_back(ToRow(object));
  }
  PrintTable(rows);
}

ExitCode
ReportError(const std::string& aWhat, const StoreError& aError)
{
  std::cerr << "porttillerctl: " << aWhat << ": " << ToText(aError.mKind)
            << ": " << aError.mDetail << "\n";
  switch (aError.mKind) {
    case StoreErrorKind::kUnavailable:
      return ExitCode::kUnavailable;
    case StoreErrorKind::kAmbiguous:
      return ExitCode::kOutcomeUnknown;
    case StoreErrorKind::kNotFound:
      return ExitCode::kNotFound;
    case StoreErrorKind::kConflict:
      return ExitCode::kConflict;
    case StoreErrorKind::kRejected:
      return ExitCode::kInvalid;
    case StoreErrorKind::kBadAnswer:
      break;
  }
  return ExitCode::kFailed;
}

} // namespace porttiller::ctl
