// Output of porttillerctl, as tables or JSON, and its exit codes.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/store/StoreError.h"

#include <string>
#include <vector>

namespace porttiller::ctl {

// Scripts distinguish failures by these.
enum class ExitCode
{
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kUnavailable = 3, // the platform or the daemon cannot be reached
  kInvalid = 4,     // the object fails validation
  kConflict = 5,    // the stored version is not the expected one
  kNotFound = 6,
  kOutcomeUnknown = 7 // a write was sent and may or may not have been done
};

enum class Format
{
  kTable,
  kJson
};

using Row = std::vector<std::string>;

// The first row is the heading.
void
PrintTable(const std::vector<Row>& aRows);

void
PrintObject(const Object& aObject, Format aFormat);

void
PrintObjects(const std::vector<Object>& aObjects, Format aFormat);

// Prints the error to stderr and returns its exit code.
ExitCode
ReportError(const std::string& aWhat, const StoreError& aError);

} // namespace porttiller::ctl
