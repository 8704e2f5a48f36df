#include "porttiller/core/RejectReason.h"

#include <algorithm>
#include <array>

namespace porttiller {

namespace {

constexpr std::array<std::string_view, kRejectReasonCount> kRefusals = {
  "none",       "incarnation", "no-server",   "leaving", "ejected", "demoted",
  "overloaded", "server-busy", "no-retries",  "expired", "revoked", "duplicate",
  "stale",      "unreachable", "quarantined", "limited"
};

} // namespace

std::string_view
ToText(RejectReason aRejectReason)
{
  return kRefusals.at(static_cast<std::size_t>(aRejectReason));
}

std::optional<RejectReason>
ParseRejectReason(std::string_view aText)
{
  const auto it = std::find(kRefusals.begin(), kRefusals.end(), aText);
  if (it == kRefusals.end()) {
    return std::nullopt;
  }
  return static_cast<RejectReason>(it - kRefusals.begin());
}

} // namespace porttiller
