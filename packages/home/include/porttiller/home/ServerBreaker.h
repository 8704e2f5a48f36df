// The circuit breaker of one backend server of this box. Its input is the
// server's answers and the requests that remain unanswered.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/CircuitBreaker.h"
#include "porttiller/policy/RouteTimes.h"
#include "porttiller/policy/RunningTrials.h"
#include "porttiller/policy/SilenceDetector.h"

#include <string>

namespace porttiller {

// Owned by LocalServer, under its lock.
class ServerBreaker
{
public:
  // aTimes are the latencies of the server; they must outlive the breaker.
  ServerBreaker(ServerIncarnation aServer, const RouteTimes& aTimes);

  // Whether the request may be sent to the server now. aRetryAvailable: the
  // retry budget holds the retry that a trial may need.
  bool Admit(const HomeRequest& aRequest, bool aRetryAvailable, TimePoint aNow);
  // True while the breaker is not closed: only trials and last-resort requests
  // are admitted.
  bool IsDemoted(TimePoint aNow);
  // Whether the breaker is not closed only because the server is silent; it has
  // lost no response since.
  bool OpenedBySilence() const { return mOpenedBySilence; }
  // How long to wait before a rejected request is tried here again.
  Millis RetryAfter(TimePoint aNow) const;

  void OnStarted(const HomeRequest& aRequest, TimePoint aNow);
  // Must be called for every started attempt. aTime is how long it ran.
  void OnEnded(const HomeRequest& aRequest,
               const HomeAnswer& aAnswer,
               Micros aTime,
               TimePoint aNow);
  std::string Dump() const { return mBreaker.Dump(); }

private:
  void UpdateSilence(const HomeRequest& aRequest,
                     const HomeAnswer& aAnswer,
                     TimePoint aNow);
  // Returns true when the breaker's state changed.
  bool UpdateBreaker(const HomeRequest& aRequest,
                     const HomeAnswer& aAnswer,
                     Micros aTime,
                     TimePoint aNow);
  // Updates the breaker by what the ages of running requests show.
  void CheckRunning(TimePoint aNow);
  void CheckAccepted(TimePoint aNow);
  void CheckSilence(TimePoint aNow);
  // The detector for requests of this kind.
  SilenceDetector& SilenceOf(const HomeRequest& aRequest);
  bool IsSilent(TimePoint aNow) const;
  SurvivalOf Survival() const;
  SurvivalOf LongSurvival() const;
  void LogChange(const char* aKey,
                 const std::string& aCause, // a request, or "silence"
                 const std::string& aReason,
                 TimePoint aNow) const;

  const ServerIncarnation mServer;
  const RouteTimes& mTimes;
  CircuitBreaker mBreaker;
  SilenceDetector mSilence; // of requests that are not long
  SilenceDetector mLongSilence{ LongRequestSilence() };
  RunningTrials mTrials; // long requests that run while the breaker is open
  // Running mean of the service's error rate that entries send with requests.
  double mServiceErrorRate = 0.0;
  bool mOpenedBySilence = false; // whether silence opened the breaker
};

} // namespace porttiller
