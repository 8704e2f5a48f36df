// Header names and object API of the dialect that the settings choose.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Settings.h"
#include "porttiller/store/ObjectClient.h"

namespace porttiller {

EdgeHeaders
EdgeHeadersOf(const Settings& aSettings);

StoreDialect
StoreDialectOf(const Settings& aSettings);

} // namespace porttiller
