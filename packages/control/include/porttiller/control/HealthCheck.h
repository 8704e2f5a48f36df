// One health check of a backend server: what the server itself says of its
// state, for a box that restarts and can't know whether the state in its record
// is the last one.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/core/Time.h"

#include <string>

namespace porttiller {

struct HealthCheckOptions
{
  std::string mPath; // of the health check at the server
  EdgeHeaders mHeaders;
  Millis mTimeout{ 300 };
};

// True if the server answers 200 in time, under its own ID and without saying
// that it leaves. False says nothing: it may also be busy or slow.
bool
SaysReady(const ServerRecord& aServer, const HealthCheckOptions& aOptions);

} // namespace porttiller
