// The request that an entry sends to a home, and the home's answer.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/RejectReason.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/core/Time.h"
#include "porttiller/hop/ServerSignals.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpTypes.h"
#include "porttiller/policy/CrashTable.h"

#include <optional>
#include <string>
#include <vector>

namespace porttiller {

// Reason of an unknown outcome when the server did not answer in time. It is
// evidence that the server hangs.
inline constexpr const char* kTimeoutReason = "server-timeout";
// Reason of an unknown outcome when the server's answer is no valid HTTP.
inline constexpr const char* kMalformedReason = "server-malformed";

// The limit that a server names, as one box tells it to another.
struct LimitNote
{
  double mRate = 0.0;    // requests per second
  Millis mAge{ 0 };      // since the server last named it; from entries
  Millis mInterval{ 0 }; // between requests of one box; from homes

  friend auto operator<=>(const LimitNote&, const LimitNote&) = default;
};

// What a home knows of a server's demands.
struct ServerDemand
{
  std::optional<LimitNote> mLimit;
  bool mLeaving = false; // the server's answers say that it is shutting down

  friend auto operator<=>(const ServerDemand&, const ServerDemand&) = default;
};

struct HomeRequest
{
  AttemptId mAttempt;
  Incarnation mHomeIncarnation;
  BackendServerName mServer;
  Priority mPriority = Priority::kNormal;
  bool mRepeatable = false;
  bool mCanFailOver = false; // another server can still take it after a failure
  bool mLastResort = false;  // no other server accepts it
  bool mIsRetry = false;     // the request was sent to another server before
  bool mIsHedge = false;     // an earlier attempt of the request still runs
  // Share of errors among the service's answers that the entry has seen.
  double mServiceErrorRate = 0.0;
  TimePoint mDeadline; // on the monotonic clock of this process
  std::string mRequestKey;
  std::string mRoute;     // class of requests whose latencies are compared
  std::string mRequestId; // from the caller, for logs; may be empty
  RequestDigest mDigest;  // never encoded; each side computes it
  std::vector<CrashEvent> mCrashes; // that the entry knows of the request
  std::optional<LimitNote> mLimit;  // of the server, that the entry knows
  // Latency target of its route, if the rules for long requests apply to it.
  std::optional<Millis> mLongTarget;
  CancelFlag mCancelled; // never encoded; may be null
  HttpRequestData mHttp;
};

// True for a request that is not repeatable and has a request key. Its caller
// may query the outcome later, so its home waits past the deadline for the
// answer and records it.
inline bool
WaitsPastDeadline(const HomeRequest& aRequest)
{
  return !aRequest.mRepeatable && !aRequest.mRequestKey.empty();
}

// True once nobody waits for the answer and nobody can query it later.
inline bool
IsCancelled(const HomeRequest& aRequest)
{
  return aRequest.mCancelled && aRequest.mCancelled->IsCancelled() &&
         !WaitsPastDeadline(aRequest);
}

// Returns the flag that cancels the waits of a request; null when none does.
inline CancelFlag
CancellationOf(const HomeRequest& aRequest)
{
  return WaitsPastDeadline(aRequest) ? nullptr : aRequest.mCancelled;
}

struct HomeAnswer
{
  Outcome mOutcome = Outcome::kUnknown;
  RejectReason mRejectReason = RejectReason::kNone;
  Millis mRetryAfter{ 0 }; // with kNotRun
  // With kDemoted: the server lost no response, but has answered nothing for
  // long. Set only for long requests.
  bool mSilent = false;
  double mLoad = 0.0; // running and waiting requests per slot
  // With kRun: 90th percentile of the route's latency at this server; zero
  // while unknown.
  Micros mLatencyP90{ 0 };
  HttpAnswer mHttp;    // with kRun
  std::string mReason; // with kUnknown
  // With kUnknown: the server crashed while it ran the request.
  std::optional<CrashEvent> mCrash;
  ServerDemand mDemand;
  // The server ended the connection before its answer was complete. Never
  // encoded.
  bool mServerClosed = false;
  // Null if the answer is not known to be from the server. Never encoded.
  std::optional<ServerSignals> mSignals;
};

} // namespace porttiller
