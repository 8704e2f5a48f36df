// Tells a server that leaves requests without an answer from one that is merely
// busy with long ones, by the ages of all requests that run there. Each adds
// the logarithm of how much likelier its age is at a server that hangs; each
// answer speaks for the server. The sum over the requests since the likeliest
// moment at which hanging began is the score. Source: Page, "Continuous
// inspection schemes", 1954 (CUSUM).
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <deque>
#include <functional>
#include <string>

namespace porttiller {

struct SilenceDetectorOptions
{
  // Of the requests at a server that hangs, those that get no answer; the
  // others are answered as usual. On the users' machines it is 0.75.
  double mHangingShare = 0.75;
  // Log-likelihood for an alarm. At 2.6 one request alone raises it once
  // one in eighteen would take longer, two of the same age once one in five
  // would.
  double mThreshold = 2.6;
  // The sum is kept below this, so that two answers end any alarm.
  double mCeiling = 4.6;
  // Requests that count, newest first.
  std::size_t mMemory = 16;
};

// The share of requests of a route that run for longer than a time.
using SurvivalOf = std::function<double(const std::string&, Micros)>;

// Of one server. Not thread-safe: its owner holds the server's lock.
class SilenceDetector
{
public:
  explicit SilenceDetector(SilenceDetectorOptions aOptions = {});

  void OnStarted(const AttemptId& aAttempt,
                 const std::string& aRoute,
                 TimePoint aNow);
  void OnAnswered(const AttemptId& aAttempt);
  // Nobody waits for its answer any more.
  void OnGivenUp(const AttemptId& aAttempt, TimePoint aNow);
  // It says nothing of the server.
  void Forget(const AttemptId& aAttempt);
  void Reset() { mRequests.clear(); }

  double Score(const SurvivalOf& aSurvival, TimePoint aNow) const;
  bool Alarms(const SurvivalOf& aSurvival, TimePoint aNow) const
  {
    return Score(aSurvival, aNow) >= mOptions.mThreshold;
  }

private:
  enum class Fate
  {
    kRunning,
    kAnswered,
    kGivenUp
  };

  struct Request
  {
    AttemptId mAttempt;
    std::string mRoute;
    TimePoint mStarted;
    Fate mFate = Fate::kRunning;
    TimePoint mEnded; // when given up
  };

  Request* Find(const AttemptId& aAttempt);
  double Evidence(const Request& aRequest,
                  const SurvivalOf& aSurvival,
                  TimePoint aNow) const;

  SilenceDetectorOptions mOptions;
  std::deque<Request> mRequests; // in the order of their start
};

} // namespace porttiller
