// Names of the headers that callers see and of those between entry and home.
#pragma once

namespace porttiller::hop {

// From callers. docs/API.md describes them.
inline constexpr const char* kDeadlineMs = "Porttiller-Deadline-Ms";
inline constexpr const char* kRepeatable = "Porttiller-Repeatable";
inline constexpr const char* kRequestKey = "Porttiller-Request-Key";
inline constexpr const char* kKey = "Porttiller-Key";
// To backend servers. Without the prefix of headers that end at one hop.
inline constexpr const char* kWorkspace = "Caller-Workspace";
// To callers; kToken also back from them.
inline constexpr const char* kOutcome = "Porttiller-Outcome";
inline constexpr const char* kToken = "Porttiller-Token";
inline constexpr const char* kReason = "Porttiller-Reason";
inline constexpr const char* kRetryAfterMs = "Porttiller-Retry-After-Ms";
// Between entry and home: all that they tell each other about an attempt.
// HopCodec has the fields.
inline constexpr const char* kRequestHop = "Porttiller-Try";
inline constexpr const char* kAnswerHop = "Porttiller-Told";

} // namespace porttiller::hop
