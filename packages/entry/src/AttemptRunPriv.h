// The attempts of one request, until it has its final answer.
#pragma once

#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/policy/AttemptPlan.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace porttiller {

// An attempt that was sent and whose result is not known yet.
struct RunningAttempt
{
  AttemptId mId;
  const BackendServerSpec* mServer = nullptr; // in the request's snapshot
  bool mMayFail = false;                      // another server may follow
  CancelFlag mCancelled;                      // of this attempt alone
};

struct EndedAttempt
{
  AttemptId mId;
  AttemptResult mResult;
};

// Where attempts that run on other threads leave their results. Shared by the
// request and its attempts, as an attempt may outlive its request.
class AttemptResults
{
public:
  void Put(EndedAttempt aEnded);
  // Waiting makes no sense any more, now or later.
  void Interrupt();
  // Null when there is none by aUntil, or it was interrupted.
  std::optional<EndedAttempt> Await(TimePoint aUntil);

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<EndedAttempt> mEnded;
  bool mInterrupted = false;
};

// Lives on the stack of the thread that serves the request. What may be
// repeated races: an attempt that takes unusually long gets a rival at another
// server, and the first answer wins.
class AttemptRun
{
public:
  AttemptRun(const AttemptServices& aServices, RequestContext& aContext);

  CallerAnswer Run();

  // Each takes the result of the attempt that has just ended.
  void operator()(AttemptAnswered& aAnswered);
  void operator()(const AttemptNotRun& aNotRun);
  void operator()(const AttemptUnknown& aUnknown);

private:
  bool MayGoOn() const;
  bool SendNext();
  void SendTo(const BackendServerSpec& aServer, bool aMayFail);
  void Race();
  void AwaitOne();
  void Take(EndedAttempt aEnded);
  void CancelRunning();
  Micros RaceDelay() const;
  HomeRequest MakeRequest(const RunningAttempt& aAttempt) const;
  HttpHeaders ServerHeaders() const;
  void LogAttempt(const std::string& aResult) const;
  void LogRace(const BackendServerSpec& aServer) const;
  std::string TokenOf(const RunningAttempt& aAttempt) const;
  CallerAnswer GiveUp() const;

  const AttemptServices& mServices;
  RequestContext& mContext;
  AttemptPlan mPlan;
  std::vector<RunningAttempt> mRunning;
  std::shared_ptr<AttemptResults> mResults;
  Cancellation::Watch mCallerWatch;
  RunningAttempt mEnded; // the one whose result is being taken
  TimePoint mRaceAt = TimePoint::max();
  bool mDone = false;
  std::string mReason = "no-server";
  std::string mToken;
  std::optional<Millis> mRetryAfter;
  std::optional<CallerAnswer> mAnswer;
};

// The server's answer as its caller gets it.
CallerAnswer
PassOn(HttpAnswer aHttp);

} // namespace porttiller
