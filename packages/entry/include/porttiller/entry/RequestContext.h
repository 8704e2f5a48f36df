// A caller's request as it passes through the filters, and its answer.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpTypes.h"

#include <optional>
#include <string>

namespace porttiller {

// The answer to the caller.
struct CallerAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  Body mBody;
  Outcome mOutcome = Outcome::kNotRun;
  std::string mReason; // set when the proxy made the answer itself
  std::optional<Millis> mRetryAfter;
  std::string mToken; // with kUnknown: the home and the attempt to query
  bool mCloseConnection = false;
};

// Makes an answer of the proxy itself, with the reason in a JSON body.
CallerAnswer
MakeProxyAnswer(int aStatus, Outcome aOutcome, const std::string& aReason);

// Owned by the thread that serves the request. Each filter fills in some
// fields.
struct RequestContext
{
  const Settings& mSettings;
  const EdgeHeaders& mNames;
  SnapshotPtr mSnapshot;
  TimePoint mArrival;
  HttpRequestData mHttp; // as received
  CancelFlag mCancelled; // set when the caller disconnects

  std::string mRequestId;            // set by the caller, may be empty
  std::string mPath;                 // as received, without the query
  const RouteSpec* mRoute = nullptr; // in mSnapshot
  const ServiceEntry* mService = nullptr;
  WorkspacePtr mWorkspace; // null: no API key required
  Priority mPriority = Priority::kNormal;
  bool mCountedAgainstLimit = false; // of mWorkspace
  TimePoint mDeadline;
  bool mRepeatable = false;
  std::string mRequestKey;
  std::string mToken;
  RequestDigest mDigest; // empty until the request is sent to a home
  Micros mHomeTime{ 0 }; // waiting for homes; not counted as added latency
};

} // namespace porttiller
