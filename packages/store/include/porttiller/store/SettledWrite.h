// Conditional writes whose lost answers are settled by reading back.
#pragma once

#include "porttiller/store/ObjectClient.h"

namespace porttiller {

// Creates the object when aVersion is 0, else updates that version. A lost
// answer is read back: the object holding exactly aSpec at a newer version
// means that the write took effect (or an equal one, which is as good). The
// spec of an object that several write carries its writer, so that one's own
// effect can be told. kAmbiguous is left only when reading back fails too.
tl::expected<std::uint64_t, StoreError>
WriteSettled(ObjectClient& aClient,
             const ObjectKey& aKey,
             std::uint64_t aVersion,
             const std::string& aSpec);

} // namespace porttiller
