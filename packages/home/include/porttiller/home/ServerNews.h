// A change of a backend server's breaker, which its home sends to the boxes
// that sent requests there, so that they need not find out by requests.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/core/Time.h"

#include <vector>

namespace porttiller {

struct ServerNews
{
  ServerIncarnation mServer;
  ServiceName mService;
  bool mDemoted = false; // it turns away what must not fail
  Millis mRetryAfter{ 0 };
  std::vector<BoxName> mReceivers;
};

} // namespace porttiller
