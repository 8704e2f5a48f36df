// Turns requests that may run only once away from a server as soon as one of
// its answers was lost. Such a request is gone with the answer, while one that
// may be repeated is made good elsewhere; so those try the server, a few at a
// time, and successes in a row close the breaker again. It acts on the first
// failure and takes no capacity away, where the ejection machine needs several
// and may set a server aside for long.
#pragma once

#include "porttiller/core/Time.h"

#include <bitset>
#include <string>

namespace porttiller {

struct CircuitBreakerOptions
{
  // Between two trials; doubles with each one that fails. On the users' days a
  // bad spell lasts some nine seconds, so early trials only spend retries.
  Millis mTrialGap{ 300 };
  Millis mMaxTrialGap{ 1500 };
  int mSuccessesToClose = 2; // in a row
  // With no failure for so long a request that may run once is a trial too:
  // others may never come. Longer than the spells of some nine seconds that
  // servers have on the users' days, as it is lost when it fails.
  Millis mTrialOfAny{ 10'000 };
  // Errors that the server itself answers count as a failure when so many among
  // the last kErrorWindow answers are this unlikely for its service: what all
  // its servers answer comes from what they call, or from the requests.
  double mErrorsUnlikely = 0.02;
};

enum class BreakerState
{
  kClosed,  // every request is admitted
  kHalfOpen // only trials with requests that may be repeated
};

const char*
ToText(BreakerState aState);

// Of one server. Not thread-safe: its owner holds the server's lock.
class CircuitBreaker
{
public:
  explicit CircuitBreaker(CircuitBreakerOptions aOptions = {});

  // True when the request may be sent to the server now; a trial counts from
  // then on. aLastResort: no other server would take it.
  bool Admit(bool aRepeatable, bool aLastResort, TimePoint aNow);

  // An answer was lost, cut or spoiled. True when the state changed.
  bool OnFailure(TimePoint aNow);
  // The server answered a request in order that was sent to it at aSent. One
  // from before the last failure tells nothing. True when the state changed.
  bool OnSuccess(TimePoint aSent);
  // The server answered with an error of its own; aUsualErrors is the share of
  // such answers over all servers of its service. True as with OnFailure.
  bool OnError(double aUsualErrors, TimePoint aNow);
  // What had opened it was no failure.
  void Close();

  BreakerState State() const { return mState; }
  // When a refused request may be tried here again.
  Millis RetryAfter(TimePoint aNow) const;
  std::string Dump() const;

private:
  static constexpr int kErrorWindow = 6;

  using Window = std::bitset<kErrorWindow>; // of the last answers, newest first

  void Note(bool aError);
  // Of so many errors in the window, or more, were each as likely as aShare.
  static double Likelihood(int aErrors, double aShare);

  CircuitBreakerOptions mOptions;
  BreakerState mState = BreakerState::kClosed;
  Millis mGap;
  int mSuccesses = 0;
  TimePoint mNextTrial;
  TimePoint mLastFailure;
  Window mErrors;
};

} // namespace porttiller
