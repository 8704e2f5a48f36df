// Names of the headers that callers see and of those between entry and home.
#pragma once

namespace porttiller::hop {

// From callers. docs/API.md describes them.
inline constexpr const char* kDeadlineMs = "Porttiller-Deadline-Ms";
inline constexpr const char* kRepeatable = "Porttiller-Repeatable";
inline constexpr const char* kRequestKey = "Porttiller-Request-Key";
// To callers; kToken also back from them.
inline constexpr const char* kOutcome = "Porttiller-Outcome";
inline constexpr const char* kToken = "Porttiller-Token";
inline constexpr const char* kReason = "Porttiller-Reason";
// Between entry and home.
inline constexpr const char* kAttempt = "Porttiller-Attempt";
inline constexpr const char* kServer = "Porttiller-Server";
inline constexpr const char* kIncarnation = "Porttiller-Home-Incarnation";
inline constexpr const char* kBudgetMs = "Porttiller-Budget-Ms";
// The deadline on the home's own monotonic clock, once the entry knows it.
inline constexpr const char* kHomeDeadlineMs = "Porttiller-Home-Deadline-Ms";
inline constexpr const char* kHomeClockMs = "Porttiller-Home-Clock-Ms";
// Name of the route: the class of call, for detection.
inline constexpr const char* kRoute = "Porttiller-Route";
inline constexpr const char* kPriority = "Porttiller-Priority";
inline constexpr const char* kLastResort = "Porttiller-Last-Resort";
inline constexpr const char* kRefusal = "Porttiller-Refusal";
inline constexpr const char* kRetryAfterMs = "Porttiller-Retry-After-Ms";
inline constexpr const char* kLoad = "Porttiller-Load";

} // namespace porttiller::hop
