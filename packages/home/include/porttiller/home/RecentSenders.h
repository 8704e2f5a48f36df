// The boxes whose entries have lately sent requests to one backend server.
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
  // Those that sent within kMemory before aNow.
  std::vector<BoxName> Since(TimePoint aNow) const;

private:
  // A box that has sent nothing for so long is unlikely to be the next one.
  static constexpr Millis kMemory{ 10'000 };
  // At the target a server gets 17 requests a second from 1,300 boxes, most of
  // them of its own zone's 48.
  static constexpr std::size_t kMaxBoxes = 64;

  void DropOldest();

  std::map<BoxName, TimePoint> mLast;
};

} // namespace porttiller
