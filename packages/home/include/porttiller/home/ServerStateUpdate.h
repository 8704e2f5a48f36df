// A change of a backend server's breaker or of what it demands. Its home sends
// it to the boxes that recently sent requests there, so that they need not
// learn it by a rejection.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/core/Time.h"
#include "porttiller/hop/HomeTypes.h"

#include <vector>

namespace porttiller {

struct ServerStateUpdate
{
  ServerIncarnation mServer;
  ServiceName mService;
  bool mDemoted = false; // the breaker is not closed
  Millis mRetryAfter{ 0 };
  ServerDemand mDemand;
  // The server that was leaving has ended, and another start may have begun.
  bool mLeavingEnded = false;
  std::vector<BoxName> mReceivers;
};

} // namespace porttiller
