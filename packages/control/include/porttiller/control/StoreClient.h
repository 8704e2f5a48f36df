// Options for this node's clients of the platform's object API.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/store/ObjectClient.h"

namespace porttiller {

// aUse names the client in log lines.
ObjectClientOptions
StoreClientOptions(const Settings& aSettings,
                   const std::string& aUse,
                   Millis aTimeout);

} // namespace porttiller
