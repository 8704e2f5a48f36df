// The circuit breaker of one backend server of this box, fed with what its
// answers and its silence say.
#pragma once

#include "porttiller/node/HomeTypes.h"
#include "porttiller/policy/CircuitBreaker.h"
#include "porttiller/policy/Detector.h"

#include <map>
#include <string>

namespace porttiller {

// Owned by LocalServer, under its lock.
class ServerBreaker
{
public:
  explicit ServerBreaker(BackendServerName aServer);

  // Whether the request may be sent to the server now.
  bool Admit(const HomeRequest& aRequest, TimePoint aNow);
  // When a request that was not admitted may come back.
  Millis RetryAfter(TimePoint aNow) const;

  void OnStarted(const AttemptId& aAttempt, TimePoint aNow);
  // Of every attempt that was started; aTime is how long it ran.
  void OnEnded(const HomeRequest& aRequest,
               const HomeAnswer& aAnswer,
               Micros aTime,
               TimePoint aNow);

  std::string Dump() const { return mBreaker.Dump(); }

private:
  void Learn(const HomeRequest& aRequest,
             const HomeAnswer& aAnswer,
             Micros aTime,
             TimePoint aNow,
             bool aSuspected); // its silence has been counted already
  bool Feed(const HomeAnswer& aAnswer,
            Micros aTime,
            TimePoint aNow,
            bool aSuspected);
  void SuspectSilent(TimePoint aNow);
  Micros SilenceLimit() const;
  void LogChange(const char* aKey,
                 const std::string& aCause, // a request or an attempt
                 const std::string& aReason) const;

  const BackendServerName mServer;
  CircuitBreaker mBreaker;
  RecentMean mLatency; // of answers in order; zero while there are none
  std::map<AttemptId, TimePoint> mRunningSince; // not yet suspected
};

} // namespace porttiller
