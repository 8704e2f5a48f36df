// What an entry asks of a home and what the home answers.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Refusal.h"
#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpTypes.h"

#include <string>

namespace porttiller {

// The reason of an unknown outcome that says something of a server's silence.
inline constexpr const char* kTimeoutReason = "server-timeout";

struct HomeRequest
{
  AttemptId mAttempt;
  Incarnation mHomeIncarnation;
  BackendServerName mServer;
  Priority mPriority = Priority::kNormal;
  bool mRepeatable = false;
  bool mMayFail = false; // another server may still get it after this one
  bool mLastResort = false;
  bool mRepeat = false; // another server has got the request already
  // Of the service's answers that the entry has seen, those that were errors.
  double mUsualErrors = 0.0;
  TimePoint mDeadline; // on the clock of the process that holds the value
  std::string mRequestKey;
  std::string mRoute;     // the class of call, for detection
  std::string mRequestId; // the caller's, for logs; may be empty
  CancelFlag mCancelled;  // of this process alone; may be null
  HttpRequestData mHttp;
};

// True for a request whose caller may ask again what became of it: its home
// waits for the answer past the deadline, to have it on record.
inline bool
Lingers(const HomeRequest& aRequest)
{
  return !aRequest.mRepeatable && !aRequest.mRequestKey.empty();
}

// True once nobody waits for the answer any more, nor will ask for it.
inline bool
IsCancelled(const HomeRequest& aRequest)
{
  return aRequest.mCancelled && aRequest.mCancelled->IsCancelled() &&
         !Lingers(aRequest);
}

// What ends the waits of a request early; null when nothing does.
inline CancelFlag
CancellationOf(const HomeRequest& aRequest)
{
  return Lingers(aRequest) ? nullptr : aRequest.mCancelled;
}

struct HomeAnswer
{
  Outcome mOutcome = Outcome::kUnknown;
  Refusal mRefusal = Refusal::kNone;
  Millis mRetryAfter{ 0 }; // with a refusal
  double mLoad = 0.0;      // share of the server's slots in use or waited for
  // With kRun: nine in ten requests of the route take no longer here; zero
  // while that is not known.
  Micros mUsualTime{ 0 };
  HttpAnswer mHttp;    // with kRun
  std::string mReason; // with kUnknown
};

} // namespace porttiller
