// Random mutations of a text, for fuzzing parsers.
#pragma once

#include "FuzzDraw.h"

#include <array>
#include <string>

namespace porttiller {

// Applies up to four changes: replaces or inserts a byte, removes or repeats up
// to 19 bytes, truncates the text, or inserts a JSON value.
inline std::string
Mutated(std::string aText)
{
  constexpr std::array<const char*, 10> kValues = {
    "null", "-1",   "1e999",  "9223372036854775808", "\"\"", "[]", "{}",
    "true", "\xff", "\\u0000"
  };
  const int changes = Draw(1, 5);
  for (int i = 0; i < changes && !aText.empty(); ++i) {
    const auto at = static_cast<std::size_t>(
      Draw<std::int64_t>(0, static_cast<std::int64_t>(aText.size())));
    const auto length = static_cast<std::size_t>(Draw(1, 20));
    switch (Draw(0, 6)) {
      case 0:
        aText[at] = static_cast<char>(Draw(0, 256));
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, 1, static_cast<char>(Draw(0, 256)));
        break;
      case 3:
        aText.insert(at, aText.substr(at, length));
        break;
      case 4:
        aText.resize(at);
        break;
      default:
        aText.insert(at, kValues.at(static_cast<std::size_t>(Draw(0, 10))));
        break;
    }
  }
  return aText;
}

} // namespace porttiller
