// The boxes whose entries recently sent requests to one backend server.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <map>
#include <vector>

namespace porttiller {

// Owned by LocalServer, under its lock.
class RecentSenders
{
public:
  void OnRequest(const BoxName& aBox, TimePoint aNow);
  // Returns the boxes that sent a request within kMemory before aNow.
  std::vector<BoxName> Since(TimePoint aNow) const;
  // The number of those boxes.
  std::size_t CountSince(TimePoint aNow) const;
  // Also those that sent their last request long ago, kMaxBoxes at most.
  std::vector<BoxName> All() const;

private:
  // A box that sent nothing for this long is unlikely to send the next request.
  static constexpr Millis kMemory{ 10'000 };
  // At the target size a server gets 17 requests/s from a fleet of 1,300 boxes,
  // mostly from the 48 boxes of its own zone.
  static constexpr std::size_t kMaxBoxes = 64;

  void DropOldest();

  std::map<BoxName, TimePoint> mLast;
};

} // namespace porttiller
