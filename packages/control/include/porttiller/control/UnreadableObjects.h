// What becomes known of objects that cannot be read.
#pragma once

#include "porttiller/config/UnreadableObject.h"
#include "porttiller/telemetry/Metrics.h"

#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// Counts each by reason and logs each version once, in bounded memory. Owned by
// the node; thread-safe.
class UnreadableObjects
{
public:
  explicit UnreadableObjects(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void Note(const std::vector<UnreadableObject>& aObjects);

private:
  // Later ones forget earlier ones, which are then logged again when seen.
  static constexpr std::size_t kRemembered = 256;

  bool IsNew(const UnreadableObject& aObject);

  Metrics& mMetrics;
  std::mutex mMutex;
  std::set<UnreadableObject> mLogged;  // under mMutex
  std::deque<UnreadableObject> mOrder; // oldest first; under mMutex
};

} // namespace porttiller
