// The outcome of a request: whether a backend server is known to have run it.
#pragma once

#include <optional>
#include <string_view>

namespace porttiller {

enum class Outcome
{
  kRun,    // a backend server ran it, and the complete response is here
  kNotRun, // no backend server ran it or will run it
  kUnknown // neither of the above can be established
};

// "run", "not-run" or "unknown", as in the Porttiller-Outcome header.
std::string_view
ToText(Outcome aOutcome);

std::optional<Outcome>
ParseOutcome(std::string_view aText);

// Priority of a request. Under overload, kSheddable requests are shed first and
// kCritical ones last.
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
