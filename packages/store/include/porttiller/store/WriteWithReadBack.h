// Conditional writes; reads the object back if the answer is lost.
#pragma once

#include "porttiller/store/ObjectClient.h"

namespace porttiller {

// Creates the object if aVersion is 0, else updates that version. If the answer
// is lost, the object is read back: aSpec at a newer version means that this
// write, or one with the same spec, took effect. An object with several writers
// names the writer in its spec, so that their writes differ. Returns kAmbiguous
// only if the outcome is still unknown after that.
tl::expected<std::uint64_t, StoreError>
WriteWithReadBack(ObjectClient& aClient,
                  const ObjectKey& aKey,
                  std::uint64_t aVersion,
                  const std::string& aSpec);

} // namespace porttiller
