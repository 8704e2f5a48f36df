// Scans JSON text of any depth without parsing it.
#pragma once

#include <cstddef>
#include <string_view>

namespace porttiller {

// Calls aOnByte with the index of each byte outside of strings. False if the
// text ends within a string.
template<typename OnByte>
bool
ScanOutsideStrings(std::string_view aText, OnByte aOnByte)
{
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (inString && aText[i] == '\\') {
      ++i;
    } else if (aText[i] == '"') {
      inString = !inString;
    } else if (!inString) {
      aOnByte(i);
    }
  }
  return !inString;
}

inline bool
IsOpening(char aByte)
{
  return aByte == '{' || aByte == '[';
}

inline bool
IsClosing(char aByte)
{
  return aByte == '}' || aByte == ']';
}

} // namespace porttiller
