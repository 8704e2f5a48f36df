// A change of a backend server's breaker. Its home sends it to the boxes that
// recently sent requests there, so that they need not learn it by a rejection.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/core/Time.h"

#include <vector>

namespace porttiller {

struct ServerStateUpdate
{
  ServerIncarnation mServer;
  ServiceName mService;
  bool mDemoted = false; // the breaker is not closed
  Millis mRetryAfter{ 0 };
  std::vector<BoxName> mReceivers;
};

} // namespace porttiller
