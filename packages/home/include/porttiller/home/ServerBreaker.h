// The circuit breaker of one backend server of this box, fed with what its
// answers and its silence say.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/CircuitBreaker.h"
#include "porttiller/policy/RouteTimes.h"
#include "porttiller/policy/SilenceDetector.h"

#include <string>

namespace porttiller {

// Owned by LocalServer, under its lock.
class ServerBreaker
{
public:
  // aTimes: of the server's answers; kept by its owner.
  ServerBreaker(ServerIncarnation aServer, const RouteTimes& aTimes);

  // Whether the request may be sent to the server now. aTrialPaid: the service
  // bears the retry that a trial may need.
  bool Admit(const HomeRequest& aRequest, bool aTrialPaid, TimePoint aNow);
  // Whether it turns away what must not fail.
  bool Demotes(TimePoint aNow);
  // When a request that was not admitted may come back.
  Millis RetryAfter(TimePoint aNow) const;

  void OnStarted(const HomeRequest& aRequest, TimePoint aNow);
  // Of every attempt that was started; aTime is how long it ran.
  void OnEnded(const HomeRequest& aRequest,
               const HomeAnswer& aAnswer,
               Micros aTime,
               TimePoint aNow);
  std::string Dump() const { return mBreaker.Dump(); }

private:
  void NoteSilence(const HomeRequest& aRequest,
                   const HomeAnswer& aAnswer,
                   TimePoint aNow);
  bool Feed(const HomeRequest& aRequest,
            const HomeAnswer& aAnswer,
            Micros aTime,
            TimePoint aNow);
  void JudgeSilence(TimePoint aNow);
  SurvivalOf Survival() const;
  void LogChange(const char* aKey,
                 const std::string& aCause, // a request, or "silence"
                 const std::string& aReason,
                 TimePoint aNow) const;

  const ServerIncarnation mServer;
  const RouteTimes& mTimes;
  CircuitBreaker mBreaker;
  SilenceDetector mSilence;
  double mUsualErrors = 0.0; // of the service, as entries tell
  bool mBySilence = false;   // why the breaker is half open
};

} // namespace porttiller
