// Divides the memory of a process among the message bodies that it holds.
#pragma once

#include "porttiller/config/Settings.h"

#include <cstddef>

namespace porttiller {

// Bytes of bodies, by what they are. Each kind has a share of its own, so that
// no body waits for another that waits for it: a request of a caller waits for
// its home, that one for the backend server, and an answer only for its reader.
struct MemoryPlan
{
  std::size_t mCallerRequests = 0; // until they are answered
  std::size_t mPeerRequests = 0;   // of entries on other boxes
  std::size_t mHomeAnswers = 0;    // of homes on other boxes
  std::size_t mServerAnswers = 0;  // of this box's backend servers

  friend auto operator<=>(const MemoryPlan&, const MemoryPlan&) = default;
};

// What remains of resources.memory_mb beside the process itself and the answers
// that callers have not read (resources.unsent_mb). Plans for a small box if
// the memory is unknown.
MemoryPlan
PlanMemory(const ResourceSettings& aResources);

} // namespace porttiller
