// One request's attempts: where it may still go, when it must end, and what
// may truly be said of it then.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"

#include <functional>
#include <set>

namespace porttiller {

struct AttemptPlanOptions
{
  int mMaxAttempts = 6;
  // Homes that turn it away for want of room or health, before it is sent to
  // the last resort or given up. Each costs a trip with the whole body, and the
  // fifth seldom has room when four had none.
  int mMaxTurnedAway = 4;
  // More, once only servers that serve as the last resort are left.
  int mLastResortAttempts = 2;
  // Backend servers that may get the request; 0: as many as attempts allow.
  // An attempt that its home refused has reached none.
  int mMaxServers = 0;
};

// Why an attempt was not run, as far as it matters for the next one.
enum class Setback
{
  kElsewhere, // this server cannot be used now
  kSameAgain, // it can, once what its home told is taken into account
  kFull,      // its home has no slot for it
  kDemoted,   // it would serve as the last resort
  kOverloaded // the server itself refused; going elsewhere is a retry
};

// Takes one retry from the budget; false when there is none.
using RetrySource = std::function<bool()>;

// Owned by the thread that serves the request.
class AttemptPlan
{
public:
  AttemptPlan(bool aRepeatable, AttemptPlanOptions aOptions = {});

  // False once the request must end with what is known.
  bool MayAttempt();
  bool MayUse(const BackendServerName& aServer) const;
  // Whether demoted servers are to serve it.
  bool LastResort() const { return mLastResort; }
  // No server is left that MayUse allows; false when there is none at all.
  // aDemotedLeft: some are known to serve as the last resort, untried.
  bool Widen(bool aDemotedLeft = false);

  // Each attempt that was sent ends with one of the three calls below.
  void OnSent(const BackendServerName& aServer);
  // The server answered; one that failed may be tried elsewhere.
  void OnAnswered(bool aFailed, const RetrySource& aRetry);
  void OnNotRun(const BackendServerName& aServer,
                Setback aSetback,
                const RetrySource& aRetry);
  void OnUnknown(const RetrySource& aRetry);

  // Whether another attempt may be sent while one runs. Takes a retry.
  bool MayRace(const RetrySource& aRetry);
  bool Repeatable() const { return mRepeatable; }
  // A server has got the request, or may have.
  bool ReachedBefore() const { return mServersReached + mInFlight > 0; }
  // The next attempt may fail without the request being lost.
  bool MayFailNext() const;

  // kNotRun only while every attempt was confirmed as not run.
  Outcome OutcomeWithoutAnswer() const;
  int Attempts() const { return mAttempts; }

private:
  // Once aServers more have got the request.
  bool MayReachAnother(int aServers = 0) const;
  bool MayRepeat(const RetrySource& aRetry);

  const bool mRepeatable;
  const AttemptPlanOptions mOptions;
  std::set<BackendServerName> mTried;
  std::set<BackendServerName> mDemoted;
  int mAttempts = 0;
  int mTurnedAway = 0;
  int mServersReached = 0; // or perhaps reached
  int mInFlight = 0;       // these count as reached, too
  int mMaxAttempts;
  bool mLastResort = false;
  bool mEnded = false;
  bool mMaybeRun = false;
};

} // namespace porttiller
