// What is known about whether a request was run by a backend server.
#pragma once

#include <optional>
#include <string_view>

namespace porttiller {

enum class Outcome
{
  kRun,    // a backend server ran it and its whole answer is here
  kNotRun, // no backend server ran it, and none will
  kUnknown // neither of these can be shown
};

// "run", "not-run" or "unknown", as in the Porttiller-Outcome header.
std::string_view
ToText(Outcome aOutcome);

std::optional<Outcome>
ParseOutcome(std::string_view aText);

// Order in which requests are given up under overload, last one first.
enum class Priority
{
  kCritical,
  kNormal,
  kSheddable
};

inline constexpr int kPriorityCount = 3;

std::string_view
ToText(Priority aPriority);

std::optional<Priority>
ParsePriority(std::string_view aText);

} // namespace porttiller
