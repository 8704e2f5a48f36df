// How long each box waits between its requests to a backend server whose rate
// is limited, so that all boxes together keep to the rate without messages.
#pragma once

#include "porttiller/core/Time.h"

namespace porttiller {

// Kept by the home of the server, which tells it to the boxes with its answers.
// The interval grows when requests come too often and shrinks when part of the
// rate goes unused, as boxes want different amounts. Not thread-safe.
class TurnInterval
{
public:
  // A box that lost the message about the end of a limit waits no longer.
  static constexpr Millis kMax{ 10'000 };

  // The limit begins: aSenders boxes share aRate requests per second.
  void Start(double aRate, std::size_t aSenders);
  void OnRateChanged(double aBefore, double aRate);
  void OnRejected();
  // aUnused: requests that the rate would have allowed.
  void OnUnused(double aUnused);

  Millis Value() const;

private:
  void Set(double aSeconds);

  double mSeconds = 0.0;
};

} // namespace porttiller
