// Decides for one request whether another attempt may be made and at which
// servers, and which outcome may be reported when there is no answer.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"

#include <functional>
#include <set>

namespace porttiller {

struct AttemptPlanOptions
{
  int mMaxAttempts = 6;
  // Attempts rejected for lack of capacity or because the server is demoted,
  // before demoted servers are used as the last resort or the request ends.
  // Each costs a hop with the whole body, and a fifth home seldom has a free
  // slot when four had none.
  int mMaxRejectedAttempts = 4;
  // Further attempts once only demoted servers are left.
  int mLastResortAttempts = 2;
  // Backend servers that may receive the request; 0: limited by the number of
  // attempts only. An attempt rejected by its home has reached no server.
  int mMaxServers = 0;
  // Whether the plan is of a long request. A rejection as demoted then does not
  // count towards mMaxRejectedAttempts: it costs a few milliseconds of seconds,
  // and the last resort loses most unrepeatable requests. Among demoted servers
  // silent ones are preferred, which have lost no response.
  bool mIsLong = false;
  // Whether homes are asked in several rounds before the last resort; until
  // EndRounds.
  bool mRepeatsRounds = false;
  // Homes asked in each round after the first. Rejected attempts send the whole
  // body: with 16 in each round, those of waiting requests are most of the
  // bytes between zones.
  int mMaxAttemptsInLaterRounds = 4;
};

// Why an attempt was not run; decides where the next one may go.
enum class NotRunReason
{
  kTryElsewhere,    // this server cannot be used now
  kRetrySameServer, // usable with the incarnation and clock that its home
                    // returned
  kNoCapacity,      // its home has no free slot, or no retry left for it
  kDemoted,         // usable only as the last resort
  kOverloaded // rejected by the server itself; another server costs a retry
};

// Takes one retry from the retry budget; false when it is spent.
using RetrySource = std::function<bool()>;

// Owned by the thread that serves the request.
class AttemptPlan
{
public:
  AttemptPlan(bool aRepeatable, AttemptPlanOptions aOptions = {});

  // False once the request must end with the outcome known so far.
  bool MayAttempt();
  bool MayUse(const BackendServerName& aServer) const;
  // Whether demoted servers may be used.
  bool LastResort() const { return mLastResort; }
  // Allows demoted servers as the last resort, once MayUse allows no other.
  // aDemotedLeft: there are demoted servers that were not tried. False when
  // there is no demoted server, or they were allowed before.
  bool AllowLastResort(bool aDemotedLeft = false);
  // Whether the last resort prefers servers that are demoted only because they
  // are silent.
  bool PrefersSilent() const { return mOptions.mIsLong; }

  // Called when MayUse leaves no server that can be chosen. Allows more: in a
  // repeated round those of earlier rounds, otherwise the last resort. False at
  // the end of a round, or if there are none.
  bool AllowMore(bool aDemotedLeft);
  // Whether servers that are known as demoted may be asked as any other, since
  // they may have recovered: in a repeated round.
  bool AsksDemoted() const { return mRepeatsRounds && !mFirstRound; }
  // Whether StartRound or EndRounds must be called once MayAttempt or AllowMore
  // has returned false.
  bool MayRepeatRound() const { return mRepeatsRounds && !mEnded; }
  // Starts another round of mMaxAttemptsInLaterRounds attempts. It asks the
  // servers that earlier rounds left out before it asks others again: four
  // homes without a free slot would otherwise be asked in each round, and no
  // other one.
  void StartRound();
  // From now on the plan proceeds as one without rounds.
  void EndRounds();

  // Every OnSent is followed by exactly one of the three calls below.
  void OnSent(const BackendServerName& aServer);
  // The server answered. aFailed: with a failure that may be retried.
  void OnAnswered(bool aFailed, const RetrySource& aRetry);
  void OnNotRun(const BackendServerName& aServer,
                NotRunReason aNotRunReason,
                const RetrySource& aRetry);
  void OnUnknown(const RetrySource& aRetry);

  // Whether a hedged attempt may be sent while one runs. Takes a retry.
  bool MayHedge(const RetrySource& aRetry);
  bool Repeatable() const { return mRepeatable; }
  // Whether a server has received the request or may have.
  bool MayHaveReachedServer() const { return mServersReached + mInFlight > 0; }
  // Whether another attempt may follow if the next one fails.
  bool MayFailOverNext() const;

  // kNotRun only if every attempt is confirmed as not run.
  Outcome OutcomeWithoutAnswer() const;
  int Attempts() const { return mAttempts; }

private:
  // Whether one more server may receive the request after aServers others.
  bool MayReachAnother(int aServers = 0) const;
  bool MayRetry(const RetrySource& aRetry);

  const bool mRepeatable;
  const AttemptPlanOptions mOptions;
  std::set<BackendServerName> mTried;
  std::set<BackendServerName> mDemoted;
  std::set<BackendServerName> mTriedInRound;
  std::set<BackendServerName> mBusy; // rejected the request themselves
  int mAttempts = 0;
  int mRejectedAttempts = 0;
  int mServersReached = 0; // received the request or may have
  int mInFlight = 0;       // counted as reached, too
  int mMaxAttempts;
  bool mLastResort = false;
  bool mRepeatsRounds;
  bool mFirstRound = true;
  bool mAsksAgain = false; // the servers of earlier rounds, too
  bool mEnded = false;
  bool mMaybeRun = false;
};

} // namespace porttiller
