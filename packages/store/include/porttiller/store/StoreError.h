// Errors of the platform's object API, independent of its dialect.
#pragma once

#include <string>

namespace porttiller {

enum class StoreErrorKind
{
  // No answer, or an error status without a kind of its own. A write without an
  // answer was not sent.
  kUnavailable,
  // A write was sent and had no answer, or a failure of the platform for one:
  // it may take effect.
  kAmbiguous,
  kNotFound,
  kConflict,  // the object has another version or already exists
  kBadAnswer, // the platform's answer cannot be decoded
  kRejected   // the platform rejected the object as invalid
};

struct StoreError
{
  StoreErrorKind mKind = StoreErrorKind::kUnavailable;
  std::string mDetail;
};

// "unavailable", "conflict", ...
const char*
ToText(StoreErrorKind aKind);

} // namespace porttiller
