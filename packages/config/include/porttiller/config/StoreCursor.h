// How far the changes of the store have been read, for a set that also moves
// forward by other ways. Between the revision that the set holds and the place
// that was read lie only changes that do not concern it, so that what is read
// next follows on what is held.
#pragma once

#include "porttiller/config/ObjectSet.h"

#include <cstdint>
#include <optional>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by the thread that reads.
class StoreCursor
{
public:
  // Where the next watch goes on for a set at aHeld. Null: the whole has to be
  // read.
  std::optional<std::uint64_t> From(std::uint64_t aHeld) const;

  // A watch for a set at aHeld has answered: its changes as they follow on
  // that set.
  static ObjectDelta FollowingOn(std::uint64_t aHeld, ObjectDelta aDelta);

  // What was read holds nothing for the set, was applied, or was refused.
  void OnRead(const ObjectDelta& aDelta,
              const tl::expected<void, ApplyError>& aResult);

  std::uint64_t Read() const { return mRead; }

private:
  std::uint64_t mRead = 0; // changes up to here have been read
  bool mLost = false;      // some of them were neither held nor applied
};

} // namespace porttiller
