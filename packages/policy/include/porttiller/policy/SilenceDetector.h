// Distinguishes a server that does not answer from one that is busy with long
// requests, by the ages of all requests that run there. Each request adds the
// logarithm of the ratio of its age's likelihoods at a hanging and at a healthy
// server; each answer counts against hanging. The score is the sum since the
// most likely moment at which the server began to hang. Source: Page,
// "Continuous inspection schemes", 1954 (CUSUM).
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <deque>
#include <functional>
#include <limits>
#include <string>

namespace porttiller {

struct SilenceDetectorOptions
{
  // Share of the requests at a hanging server that get no answer, as in
  // production; the others are answered as usual.
  double mUnansweredShare = 0.75;
  // Log-likelihood ratio for an alarm. At 2.6, one request raises it at an age
  // that one in eighteen exceeds; two of the same age raise it where one in
  // five does.
  double mThreshold = 2.6;
  // Limits what one unanswered request adds to the sum.
  double mMaxRatio = std::numeric_limits<double>::infinity();
  // The sum is limited to this value, so that two answers end any alarm.
  double mMaxScore = 4.6;
  // Only this many of the newest requests count.
  std::size_t mMaxRequests = 16;
};

// For requests of seconds, of which 1 to 3 in 100 take several times as long as
// the others. Five or more run at a time, and at the usual threshold two or
// three of them that take a little longer than most raise four to six false
// alarms in 30 s, at 4.8 less than one. A server that hangs on 70% of 5
// requests a second is still detected within 3.5 s in 19 cases of 20.
constexpr SilenceDetectorOptions
LongRequestSilence()
{
  return {
    .mThreshold = 4.8,
    // Below the threshold, so that one request alone raises no alarm: the
    // others must add 1.4, the ratio at an age that one in five exceeds.
    .mMaxRatio = 3.4,
    .mMaxScore = 6.6, // two answers end any alarm, as above
    // At 5 requests a second, the usual 16 cover only 3.2 s.
    .mMaxRequests = 32
  };
}

// Returns the share of requests of a route that take longer than a time.
using SurvivalOf = std::function<double(const std::string&, Micros)>;

// State of one server. Not thread-safe: its owner holds the server's lock.
class SilenceDetector
{
public:
  explicit SilenceDetector(SilenceDetectorOptions aOptions = {});

  void OnStarted(const AttemptId& aAttempt,
                 const std::string& aRoute,
                 TimePoint aNow);
  void OnAnswered(const AttemptId& aAttempt);
  // The request was abandoned; its age no longer grows.
  void OnAbandoned(const AttemptId& aAttempt, TimePoint aNow);
  // Drops an attempt that shows nothing about the server.
  void Forget(const AttemptId& aAttempt);
  void Reset() { mRequests.clear(); }

  double Score(const SurvivalOf& aSurvival, TimePoint aNow) const;
  bool Alarms(const SurvivalOf& aSurvival, TimePoint aNow) const
  {
    return Score(aSurvival, aNow) >= mOptions.mThreshold;
  }

private:
  enum class RequestState
  {
    kRunning,
    kAnswered,
    kAbandoned
  };

  struct Request
  {
    AttemptId mAttempt;
    std::string mRoute;
    TimePoint mStarted;
    RequestState mState = RequestState::kRunning;
    TimePoint mEnded; // if abandoned
  };

  Request* Find(const AttemptId& aAttempt);
  double LogLikelihoodRatio(const Request& aRequest,
                            const SurvivalOf& aSurvival,
                            TimePoint aNow) const;

  SilenceDetectorOptions mOptions;
  std::deque<Request> mRequests; // in the order of their start
};

} // namespace porttiller
