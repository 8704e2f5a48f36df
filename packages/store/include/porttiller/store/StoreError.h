// Errors of the platform's object API, as the layers above see them.
#pragma once

#include <string>

namespace porttiller {

enum class StoreErrorKind
{
  kUnavailable, // no answer; for a write: it was not sent
  kAmbiguous,   // a write was sent and its answer is lost: it may have effect
  kNotFound,
  kConflict,  // the object has another version, or exists already
  kBadAnswer, // the platform answered something that is not its protocol
  kRefused    // the platform refused the object itself
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
