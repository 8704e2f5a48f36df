// What a home tells other boxes of its server as soon as it changes, so that
// they need not ask with requests.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <vector>

namespace porttiller {

struct ServerNews
{
  BackendServerName mServer;
  ServiceName mService;
  bool mDemoted = false; // it turns away what must not fail
  Millis mRetryAfter{ 0 };
  std::vector<BoxName> mReceivers;
};

} // namespace porttiller
