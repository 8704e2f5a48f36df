// Names of the headers between callers and entry, between entry and home, and
// between home and backend server.
#pragma once

namespace porttiller::hop {

// From callers. docs/API.md describes them.
inline constexpr const char* kDeadlineMs = "Porttiller-Deadline-Ms";
inline constexpr const char* kRepeatable = "Porttiller-Repeatable";
inline constexpr const char* kRequestKey = "Porttiller-Request-Key";
inline constexpr const char* kKey = "Porttiller-Key";
// To backend servers. Lacks the prefix of the headers that a hop removes.
inline constexpr const char* kWorkspace = "Caller-Workspace";
// To callers; a caller sends kToken back to query the outcome.
inline constexpr const char* kOutcome = "Porttiller-Outcome";
inline constexpr const char* kToken = "Porttiller-Token";
inline constexpr const char* kReason = "Porttiller-Reason";
inline constexpr const char* kRetryAfterMs = "Porttiller-Retry-After-Ms";
// From backend servers, about themselves. Unlike other headers with the prefix,
// they are passed on to callers.
inline constexpr const char* kServerLimit = "Porttiller-Server-Limit";
inline constexpr const char* kServerLeaving = "Porttiller-Server-Leaving";
// Between entry and home: the fields of an attempt and of its answer. HopCodec
// defines them.
inline constexpr const char* kRequestHop = "Porttiller-Try";
inline constexpr const char* kAnswerHop = "Porttiller-Told";

} // namespace porttiller::hop
