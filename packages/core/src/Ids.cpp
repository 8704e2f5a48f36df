#include "porttiller/core/Ids.h"

#include <algorithm>
#include <charconv>

namespace porttiller {

bool
IsToken(std::string_view aText)
{
  constexpr std::size_t kMaxLength = 256;
  return !aText.empty() && aText.size() <= kMaxLength &&
         std::all_of(aText.begin(), aText.end(), [](char aEach) {
           return aEach > ' ' && aEach <= '~';
         });
}

std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

AttemptId::AttemptId(BoxName aBox,
                     Incarnation aIncarnation,
                     std::uint64_t aSequence)
  : mBox(std::move(aBox))
  , mIncarnation(aIncarnation)
  , mSequence(aSequence)
{
}

std::string
AttemptId::ToString() const
{
  return mBox.Value() + "/" + std::to_string(mIncarnation.Value()) + "/" +
         std::to_string(mSequence);
}

std::optional<AttemptId>
AttemptId::Parse(std::string_view aText)
{
  const auto first = aText.find('/');
  if (first == std::string_view::npos || first == 0) {
    return std::nullopt;
  }
  const auto second = aText.find('/', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto incarnation =
    ParseUnsigned(aText.substr(first + 1, second - first - 1));
  const auto sequence = ParseUnsigned(aText.substr(second + 1));
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  return AttemptId(BoxName(std::string(aText.substr(0, first))),
                   Incarnation(*incarnation),
                   *sequence);
}

} // namespace porttiller
