// One start of a backend server.
#pragma once

#include "porttiller/core/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace porttiller {

// A backend server's ID, which it may keep across restarts, and its start time
// by the server's own clock. Start times order the incarnations of one ID; they
// are never compared with those of another ID or with another clock.
// An unknown start time comes before every known one. Immutable.
class ServerIncarnation
{
public:
  ServerIncarnation() = default;
  explicit ServerIncarnation(BackendServerName aId,
                             std::optional<std::int64_t> aStartMs = {});

  const BackendServerName& Id() const { return mId; }
  // Milliseconds since the Unix epoch.
  std::optional<std::int64_t> StartMs() const { return mStartMs; }

  // True when this is a later start of the same ID.
  bool Supersedes(const ServerIncarnation& aOther) const;

  // "ID@START", or "ID" while the start time is unknown.
  std::string ToString() const;

  friend bool operator==(const ServerIncarnation&,
                         const ServerIncarnation&) = default;
  // Incarnations of different IDs are unordered.
  friend std::partial_ordering operator<=>(const ServerIncarnation& aLeft,
                                           const ServerIncarnation& aRight);

private:
  BackendServerName mId;
  std::optional<std::int64_t> mStartMs;
};

} // namespace porttiller
