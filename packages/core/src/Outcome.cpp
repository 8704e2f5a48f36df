#include "porttiller/core/Outcome.h"

#include <array>

namespace porttiller {

namespace {

constexpr std::array<std::string_view, 3> kOutcomes = { "run",
                                                        "not-run",
                                                        "unknown" };
constexpr std::array<std::string_view, kPriorityCount> kPriorities = {
  "critical",
  "normal",
  "sheddable"
};

} // namespace

std::string_view
ToText(Outcome aOutcome)
{
  return kOutcomes.at(static_cast<std::size_t>(aOutcome));
}

std::optional<Outcome>
ParseOutcome(std::string_view aText)
{
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (kOutcomes.at(i) == aText) {
      return static_cast<Outcome>(i);
    }
  }
  return std::nullopt;
}

std::string_view
ToText(Priority aPriority)
{
  return kPriorities.at(static_cast<std::size_t>(aPriority));
}

std::optional<Priority>
ParsePriority(std::string_view aText)
{
  for (std::size_t i = 0; i < kPriorities.size(); ++i) {
    if (kPriorities.at(i) == aText) {
      return static_cast<Priority>(i);
    }
  }
  return std::nullopt;
}

} // namespace porttiller
