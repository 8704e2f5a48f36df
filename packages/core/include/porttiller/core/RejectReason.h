// The reason why a home rejected an attempt without running it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace porttiller {

enum class RejectReason
{
  kNone,
  kIncarnation, // the attempt names another incarnation of the home
  kNoServer,    // the server is not on this box
  kLeaving,     // the server or its box is shutting down
  kEjected,     // the server is ejected and gets no requests
  kDemoted,     // the server is used only as the last resort
  kOverloaded,  // no slot before the deadline, or shed for another request
  kServerBusy,  // the server itself rejected it
  kNoRetries,   // a retry, and the server's retry budget is exhausted
  kExpired,     // the deadline had passed
  kRevoked,     // its revocation arrived first
  kDuplicate,   // this attempt was received before
  kStale,       // too old to know whether it was received before
  kUnreachable, // set by the entry: it could not reach the home
  kQuarantined, // the request has crashed several servers
  kLimited      // the server names a limit, which is used up
};

inline constexpr std::size_t kRejectReasonCount = 16;

std::string_view
ToText(RejectReason aRejectReason);

std::optional<RejectReason>
ParseRejectReason(std::string_view aText);

} // namespace porttiller
