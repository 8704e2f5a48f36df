// Keeps requests that are not repeatable away from a server once one of its
// answers was lost. Such a request is lost with its answer, while a repeatable
// one can be retried elsewhere. Repeatable requests therefore serve as trials,
// a few at a time, and consecutive successes close the breaker again. It acts
// on the first failure and takes no capacity away, whereas the ejection machine
// needs several failures and may remove a server for long.
#pragma once

#include "porttiller/core/Time.h"

#include <bitset>
#include <string>

namespace porttiller {

struct CircuitBreakerOptions
{
  // Between two trials; doubles with each failed trial. Outages in production
  // last about nine seconds, so earlier trials only use up retries.
  Millis mTrialInterval{ 300 };
  Millis mMaxTrialInterval{ 1500 };
  int mSuccessesToClose = 2; // consecutive
  // After this time without a failure a request that is not repeatable also
  // serves as a trial, since there may be no other requests. Longer than the
  // outages of about nine seconds in production, as the request is lost if the
  // trial fails.
  Millis mNonRepeatableTrialDelay{ 10'000 };
  // Errors that the server itself returns count as a failure if the probability
  // of as many among the last kErrorWindow answers, at the error rate of its
  // service, is below this. Errors that all servers return are caused by a
  // dependency or by the requests, not by this server.
  double mErrorSignificance = 0.02;
};

enum class BreakerState
{
  kClosed,  // all requests are admitted
  kHalfOpen // only trials and requests of last resort are
};

const char*
ToText(BreakerState aState);

// State of one server. Not thread-safe: its owner holds the server's lock.
class CircuitBreaker
{
public:
  explicit CircuitBreaker(CircuitBreakerOptions aOptions = {});

  // Returns true if the request may be sent to the server now. A request that
  // is admitted as a trial delays the next one. With aLastResort no other
  // server would take the request, so it is always admitted.
  bool Admit(bool aRepeatable, bool aLastResort, TimePoint aNow);

  // An answer was lost, truncated or corrupted. Returns true if the state
  // changed.
  bool OnFailure(TimePoint aNow);
  // The server properly answered a request that was sent to it at aSent.
  // Answers to requests from before the last failure are ignored. Returns true
  // if the state changed.
  bool OnSuccess(TimePoint aSent);
  // The server returned an error of its own; aServiceErrorRate is the share of
  // such answers over all servers of its service. Returns true if the state
  // changed.
  bool OnError(double aServiceErrorRate, TimePoint aNow);
  // Closes the breaker: the event that opened it was no failure.
  void Close();

  BreakerState State() const { return mState; }
  // The time after which a rejected request may be retried here.
  Millis RetryAfter(TimePoint aNow) const;
  std::string Dump() const;

private:
  static constexpr int kErrorWindow = 6;

  using Window = std::bitset<kErrorWindow>; // latest answers, newest first

  void RecordAnswer(bool aError);
  // Returns the probability of at least aErrors errors in the window if each
  // answer is one with probability aShare.
  static double BinomialTail(int aErrors, double aShare);

  CircuitBreakerOptions mOptions;
  BreakerState mState = BreakerState::kClosed;
  Millis mCurrentInterval;
  int mSuccesses = 0;
  TimePoint mNextTrial;
  TimePoint mLastFailure;
  Window mErrors;
};

} // namespace porttiller
