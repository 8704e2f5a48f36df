// Spaces the requests to one backend server so that they keep to a rate.
#pragma once

#include "porttiller/core/Time.h"

#include <optional>

namespace porttiller {

struct RequestPacerOptions
{
  // Requests that may be sent at once after a pause, at least; and the time for
  // which unused requests are saved, where that is more.
  double mBurst = 2.0;
  Micros mSavedTime{ 100'000 };
};

// A token bucket: rate and time come in, start times come out. It starts empty.
// Not thread-safe.
class RequestPacer
{
public:
  explicit RequestPacer(RequestPacerOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // aRate: requests per second, over 0. What was sent at the earlier rate still
  // counts.
  void SetRate(double aRate, TimePoint aNow);
  double Rate() const { return mRate; }

  // Takes the next start time, if it is no later than aNow + aMaxWait.
  std::optional<TimePoint> Reserve(Micros aMaxWait, TimePoint aNow);
  // How long a request would have to wait.
  Micros WaitTime(TimePoint aNow) const;
  // Gives one request back: a reservation that was not used.
  void Return();
  // Requests that could have been sent since the bucket became full.
  double Unused(TimePoint aNow) const;

private:
  Micros Spacing() const;
  Micros SavedTime() const;

  RequestPacerOptions mOptions;
  double mRate = 0.0;
  // When the bucket is full if nothing is sent until then.
  TimePoint mFullAt;
};

} // namespace porttiller
