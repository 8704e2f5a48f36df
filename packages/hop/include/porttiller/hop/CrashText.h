// The crashes of one request as text, for the headers between entry and home.
#pragma once

#include "porttiller/policy/CrashTable.h"

#include <string>
#include <string_view>
#include <vector>

namespace porttiller {

// "ID:AGE:FLAGS" for each event, separated by commas. The ID is hexadecimal,
// the age in milliseconds.
std::string
EncodeCrashes(const std::vector<CrashEvent>& aEvents, TimePoint aNow);

// Skips malformed events, and all after the first kMaxDecodedCrashes.
std::vector<CrashEvent>
DecodeCrashes(std::string_view aText, TimePoint aNow);

inline constexpr std::size_t kMaxDecodedCrashes = 16;

} // namespace porttiller
