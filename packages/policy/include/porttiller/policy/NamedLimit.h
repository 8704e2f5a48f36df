// The limit of requests per second that a backend server names in its answers.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

// A lower limit is in force at once. A higher one, or none, is in force once
// two answers agree on it whose requests were sent after the limit in force was
// last named: a late or faulty answer does not lift a limit. Not thread-safe.
class NamedLimit
{
public:
  // aRate: requests per second, null if the answer names none. aSent: when its
  // request was sent. Returns whether the limit in force changed.
  bool OnAnswer(std::optional<double> aRate, TimePoint aSent, TimePoint aNow);
  // Another box has heard of the limit at aHeard. Only used until the server's
  // own answers are heard. Returns whether the limit in force changed.
  bool OnReport(double aRate, TimePoint aHeard);

  // Requests per second; null while there is no limit.
  std::optional<double> Rate() const { return mRate; }
  // When the limit in force was last named.
  TimePoint HeardAt() const { return mHeardAt; }
  // Whether the next answer decides on a higher limit.
  bool IsUnconfirmed() const { return mRaise.has_value(); }

private:
  std::optional<double> mRate;
  TimePoint mHeardAt;
  // The rate of an answer that was higher; infinite if it named none.
  std::optional<double> mRaise;
  bool mAnswered = false;
};

} // namespace porttiller
