// Counts and logs objects that cannot be read.
#pragma once

#include "porttiller/config/UnreadableObject.h"
#include "porttiller/telemetry/Metrics.h"

#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace porttiller {

// Counts every report by reason and logs each version once, in bounded memory.
// Owned by the node; thread-safe.
class UnreadableObjects
{
public:
  explicit UnreadableObjects(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void Note(const std::vector<UnreadableObject>& aObjects);

private:
  // Older versions are forgotten beyond this number, and logged again if seen.
  static constexpr std::size_t kMaxLoggedVersions = 256;

  bool IsNew(const UnreadableObject& aObject);

  Metrics& mMetrics;
  std::mutex mMutex;
  std::set<UnreadableObject> mLogged;  // under mMutex
  std::deque<UnreadableObject> mOrder; // oldest first; under mMutex
};

} // namespace porttiller
