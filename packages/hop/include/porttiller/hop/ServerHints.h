// What a box knows of servers that their homes turn requests away from, as it
// travels on answers between boxes.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/core/Time.h"

#include <string>
#include <vector>

namespace porttiller {

// The home of a server said that it turns away what must not fail.
struct ServerHint
{
  ServiceName mService;
  ServerIncarnation mServer;
  Millis mAge{ 0 }; // since the home said so

  friend bool operator==(const ServerHint&, const ServerHint&) = default;
};

using ServerHints = std::vector<ServerHint>;

inline constexpr std::size_t kMaxHints = 8; // on one answer

// The value of a header; "" when there is nothing to tell.
std::string
EncodeHints(const ServerHints& aHints);

// At most kMaxHints; those that cannot be read are left out.
ServerHints
DecodeHints(const std::string& aText);

} // namespace porttiller
