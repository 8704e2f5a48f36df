// What porttillerctl prints: tables for people, JSON for programs.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/store/StoreError.h"

#include <string>
#include <vector>

namespace porttiller::ctl {

// Distinct for each kind of failure, so that scripts can tell them apart.
enum class ExitCode
{
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kUnavailable = 3, // the platform is away
  kInvalid = 4,     // the object does not pass its checks
  kConflict = 5,    // another writer came first, or the version is stale
  kNotFound = 6,
  kUnclear = 7 // a write was sent and its outcome could not be read back
};

enum class Format
{
  kTable,
  kJson
};

using Row = std::vector<std::string>;

// Columns as wide as their widest cell; the first row is the heading.
void
PrintTable(const std::vector<Row>& aRows);

void
PrintObject(const Object& aObject, Format aFormat);

void
PrintObjects(const std::vector<Object>& aObjects, Format aFormat);

// Says on stderr what is wrong, and returns its exit code.
ExitCode
ReportError(const std::string& aWhat, const StoreError& aError);

} // namespace porttiller::ctl
