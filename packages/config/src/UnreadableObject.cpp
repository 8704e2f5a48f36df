#include "porttiller/config/UnreadableObject.h"

#include <array>

namespace porttiller {

namespace {

constexpr std::array<const char*, kUnreadableReasonCount> kReasons = {
  "item", "name", "version", "spec", "owner", "document", "message"
};

} // namespace

const char*
ToText(UnreadableReason aReason)
{
  return kReasons.at(static_cast<std::size_t>(aReason));
}

} // namespace porttiller
