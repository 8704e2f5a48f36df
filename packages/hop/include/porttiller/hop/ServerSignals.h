// What a backend server tells about itself in the headers of an answer.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/http/HttpTypes.h"

#include <optional>
#include <string_view>

namespace porttiller {

struct ServerSignals
{
  // Requests per second that it accepts from all boxes together; null: it names
  // no limit.
  std::optional<double> mLimit;
  // A limit is named, but its value is not a decimal number, or there are
  // several.
  bool mUnreadableLimit = false;
  bool mLeaving = false; // it is shutting down

  friend auto operator<=>(const ServerSignals&, const ServerSignals&) = default;
};

ServerSignals
ReadServerSignals(const HttpHeaders& aHeaders, const EdgeHeaders& aNames);

// A decimal number without sign or exponent, such as "1.4"; null otherwise.
std::optional<double>
ParseRate(std::string_view aText);

} // namespace porttiller
