// Converts the messages of a directory exchange to control messages and back.
#pragma once

#include "porttiller/config/DirectoryExchange.h"

#include <porttiller.pb.h>

#include <vector>

namespace porttiller {

wire::DirectoryExchange
EncodeExchange(const DirectoryExchange& aExchange);

struct DecodedExchange
{
  DirectoryExchange mExchange;
  std::vector<UnreadableObject> mUnreadable; // records that cannot be parsed
};

// Skips nodes with a wrong number of parts.
DecodedExchange
DecodeExchange(const wire::DirectoryExchange& aMessage);

} // namespace porttiller
