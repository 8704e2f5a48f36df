// Why a home did not run an attempt.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace porttiller {

enum class Refusal
{
  kNone,
  kIncarnation, // the attempt names another life of the home
  kNoServer,    // the server is not on this box
  kLeaving,     // the server or its box is leaving
  kEjected,     // set aside; no work at all
  kDemoted,     // set aside, but would serve as the last resort
  kOverloaded,  // no slot before the deadline, or given up for another
  kServerBusy,  // the server itself refused it
  kNoRetries,   // a repeat, and the server's share of them is spent
  kExpired,     // the deadline had passed
  kRevoked,     // revoked before it arrived
  kDuplicate,   // this attempt was here before
  kStale,       // too old to know whether it was here before
  kUnreachable  // said by the entry: the home could not be reached
};

inline constexpr std::size_t kRefusalCount = 14;

std::string_view
ToText(Refusal aRefusal);

std::optional<Refusal>
ParseRefusal(std::string_view aText);

} // namespace porttiller
