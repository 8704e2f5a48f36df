// Runs the attempts of one request until it has its final answer.
#pragma once

#include "AttemptResultsPriv.h"
#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/policy/AttemptPlan.h"
#include "porttiller/policy/EntryWait.h"

#include <memory>
#include <vector>

namespace porttiller {

// An attempt that has been sent and has no result yet.
struct RunningAttempt
{
  AttemptId mId;
  const BackendServerSpec* mServer = nullptr; // in the request's snapshot
  bool mCanFailOver = false; // another server may be tried after it
  bool mIsHedge = false;     // an earlier attempt still ran when it was sent
  CancelFlag mCancelled;     // of this attempt alone
};

// Lives on the stack of the thread that serves the request. Repeatable requests
// are hedged: when an attempt takes unusually long, a second one is sent to
// another server, and the first answer is used.
class AttemptRun
{
public:
  AttemptRun(const AttemptDependencies& aDependencies,
             RequestContext& aContext);

  CallerAnswer Run();

  // Visitors for the result of the attempt in mEnded.
  void operator()(AttemptAnswered& aAnswered);
  void operator()(const AttemptNotRun& aNotRun);
  void operator()(const AttemptUnknown& aUnknown);

private:
  bool MayContinue() const;
  bool StopsForCrashes();
  bool SendNext();
  void SendTo(const BackendServerSpec& aServer, bool aCanFailOver);
  void Hedge();
  void AwaitResult();
  void ProcessResult(EndedAttempt aEnded);
  void CancelRunning();
  Micros HedgeDelay(bool aWithheld = false) const;
  bool IsWithheldHedge(const AttemptNotRun& aNotRun) const;
  HomeRequest MakeRequest(const RunningAttempt& aAttempt) const;
  HttpHeaders ServerHeaders() const;
  void LogFailedAttempt(const std::string& aResult) const;
  void LogCrashDecision(const char* aDecision, const CrashState& aState) const;
  void LogHedge(const BackendServerSpec& aServer) const;
  void LogWait() const;
  std::optional<EntryWait> MakeWait() const;
  bool StartNextRound();
  std::string TokenOf(const RunningAttempt& aAttempt) const;
  CallerAnswer MakeFailureAnswer() const;

  const AttemptDependencies& mDependencies;
  RequestContext& mContext;
  const std::optional<Millis> mLongTarget; // null: not a long request
  std::optional<EntryWait> mWait;          // null: the request does not wait
  AttemptPlan mPlan;
  std::vector<RunningAttempt> mRunning;
  std::shared_ptr<AttemptResults> mResults;
  Cancellation::Watch mCallerWatch;
  const HttpHeaders mHeaders; // for the server
  RunningAttempt mEnded;      // the one whose result is being processed
  TimePoint mHedgeAt = TimePoint::max();
  Micros mWaited{ 0 }; // between rounds
  bool mDone = false;
  bool mStopped = false; // no further attempt may be sent
  std::string mReason = "no-server";
  std::string mToken;
  std::optional<Millis> mRetryAfter;
  std::optional<CallerAnswer> mAnswer;
};

// Converts a server's answer to the one for the caller.
CallerAnswer
ToCallerAnswer(HttpAnswer aHttp);

} // namespace porttiller
