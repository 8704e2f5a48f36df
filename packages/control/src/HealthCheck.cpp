#include "porttiller/control/HealthCheck.h"

#include "porttiller/http/HttpPool.h"

namespace porttiller {

namespace {

constexpr int kOk = 200;
// An answer to a health check has a few headers and hardly any body.
constexpr MessageLimits kAnswerLimits{ .mMaxHeaderBytes = 8192,
                                       .mMaxBodyBytes = 16'384 };

} // namespace

bool
SaysReady(const ServerRecord& aServer, const HealthCheckOptions& aOptions)
{
  const auto deadline = Now() + aOptions.mTimeout;
  HttpPool pool({ .mAddress = aServer.mAddress,
                  .mMaxConnections = 1,
                  .mConnectTimeout = aOptions.mTimeout,
                  .mLimits = kAnswerLimits });
  const auto exchange = pool.Begin(
    { .mMethod = "GET",
      .mTarget = aOptions.mPath,
      .mHeaders = { { "Host", aServer.mAddress }, { "Connection", "close" } } },
    deadline);
  if (!exchange) {
    return false;
  }
  const auto answer = (*exchange)->ReadAnswer(deadline);
  if (!answer || answer->mStatus != kOk) {
    return false;
  }
  const auto& names = aOptions.mHeaders;
  const auto leaving = names.mServerLeaving.empty()
                         ? ""
                         : HeaderValue(answer->mHeaders, names.mServerLeaving);
  return leaving.empty() && HeaderValue(answer->mHeaders, names.mServerId) ==
                              aServer.mIncarnation.Id().Value();
}

} // namespace porttiller
