// Tracks how far the changes of the store have been read, for a set that is
// also advanced by deltas of peers. Changes between the revision of the set and
// the cursor do not concern the set, so the changes read next apply to the set
// as it is.
#pragma once

#include "porttiller/config/ObjectSet.h"

#include <cstdint>
#include <optional>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by the thread that reads from the store.
class StoreCursor
{
public:
  // The revision at which the next watch starts for a set at revision aHeld.
  // Null: the complete list has to be read.
  std::optional<std::uint64_t> From(std::uint64_t aHeld) const;

  // Returns the result of a watch with its start moved back to aHeld, the set's
  // revision at the start of the watch, so that it applies to that set.
  static ObjectDelta RebasedOn(std::uint64_t aHeld, ObjectDelta aDelta);

  // Records that aDelta was read. aResult is the error of applying it, or
  // success if it was applied or has no objects for the set.
  void OnRead(const ObjectDelta& aDelta,
              const tl::expected<void, ApplyError>& aResult);

  std::uint64_t Read() const { return mRead; }

private:
  std::uint64_t mRead = 0; // all changes up to this revision have been read
  bool mLost = false;      // some of the changes read could not be applied
};

} // namespace porttiller
