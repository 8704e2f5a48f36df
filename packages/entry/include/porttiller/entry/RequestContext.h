// A caller's request on its way through the filters, and the answer to it.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpTypes.h"

#include <optional>
#include <string>

namespace porttiller {

// What the caller gets.
struct CallerAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
  Outcome mOutcome = Outcome::kNotRun;
  std::string mReason; // for answers that the proxy makes itself
  std::optional<Millis> mRetryAfter;
  std::string mToken; // names the home that may know more, if unknown
  bool mCloseConnection = false;
};

// An answer made by the proxy: a JSON body with the reason.
CallerAnswer
MakeProxyAnswer(int aStatus, Outcome aOutcome, const std::string& aReason);

// Owned by the thread that serves the request; filled in filter by filter.
struct RequestContext
{
  const Settings& mSettings;
  const EdgeHeaders& mNames;
  SnapshotPtr mSnapshot;
  TimePoint mArrival;
  HttpRequestData mHttp; // as received
  CancelFlag mCancelled; // the caller has gone

  std::string mRequestId;            // the caller's, may be empty
  std::string mPath;                 // decoded, without the query
  const RouteSpec* mRoute = nullptr; // in mSnapshot
  const ServiceEntry* mService = nullptr;
  WorkspacePtr mWorkspace; // null: the route asks for no key
  Priority mPriority = Priority::kNormal;
  bool mCounted = false; // against the limit of mWorkspace
  TimePoint mDeadline;
  bool mRepeatable = false;
  std::string mRequestKey;
  std::string mToken;
  Micros mHomeTime{ 0 }; // spent with homes, for the latency that we add
};

} // namespace porttiller
