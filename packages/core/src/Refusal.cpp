#include "porttiller/core/Refusal.h"

#include <algorithm>
#include <array>

namespace porttiller {

namespace {

constexpr std::array<std::string_view, kRefusalCount> kRefusals = {
  "none",    "incarnation", "no-server",   "leaving",    "ejected",
  "demoted", "overloaded",  "server-busy", "no-retries", "expired",
  "revoked", "duplicate",   "stale",       "unreachable"
};

} // namespace

std::string_view
ToText(Refusal aRefusal)
{
  return kRefusals.at(static_cast<std::size_t>(aRefusal));
}

std::optional<Refusal>
ParseRefusal(std::string_view aText)
{
  const auto it = std::find(kRefusals.begin(), kRefusals.end(), aText);
  if (it == kRefusals.end()) {
    return std::nullopt;
  }
  return static_cast<Refusal>(it - kRefusals.begin());
}

} // namespace porttiller
