#include "porttiller/node/AdminServer.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kJson = "application/json";
constexpr std::string_view kClearPrefix = "/requests/";
constexpr std::string_view kClearSuffix = "/clear";

HttpReply
Reply(int aStatus, const char* aType, const std::string& aBody)
{
  return { .mAnswer = { .mStatus = aStatus,
                        .mHeaders = { { "Content-Type", aType } },
                        .mBody = aBody } };
}

// The digest in "/requests/DIGEST/clear"; null for other paths.
std::optional<RequestDigest>
DigestToClear(std::string_view aPath)
{
  if (!aPath.starts_with(kClearPrefix) || !aPath.ends_with(kClearSuffix) ||
      aPath.size() < kClearPrefix.size() + kClearSuffix.size()) {
    return std::nullopt;
  }
  aPath.remove_prefix(kClearPrefix.size());
  aPath.remove_suffix(kClearSuffix.size());
  return RequestDigest::Parse(aPath);
}

HttpReply
Serve(const Metrics& aMetrics,
      const AdminSources& aSources,
      const HttpCall& aCall)
{
  const auto& path = aCall.mHttp.mTarget;
  if (path == "/metrics") {
    aSources.mRefresh();
    return Reply(kOk, "text/plain; version=0.0.4", aMetrics.Text());
  }
  if (path == "/state") {
    return Reply(kOk, kJson, aSources.mState());
  }
  if (path == "/health") {
    const bool draining = aSources.mDraining();
    return Reply(draining ? kUnavailable : kOk,
                 kJson,
                 draining ? "{\"status\":\"draining\"}\n"
                          : "{\"status\":\"ready\"}\n");
  }
  const auto digest = DigestToClear(path);
  if (digest && aCall.mHttp.mMethod == "POST") {
    return aSources.mClearRequest(*digest)
             ? Reply(kOk, kJson, "{\"status\":\"cleared\"}\n")
             : Reply(kNotFound, kJson, "{\"status\":\"unknown\"}\n");
  }
  return Reply(kNotFound, kJson, "{}\n");
}

} // namespace

tl::expected<std::unique_ptr<AdminServer>, std::string>
AdminServer::Make(const std::string& aAddress,
                  const Metrics& aMetrics,
                  AdminSources aSources)
{
  auto listener = HttpListener::Make(
    { .mAddress = aAddress,
      .mWorkers = 0,
      .mLimits = { .mMaxBodyBytes = kSmallBodyBytes },
      .mOnException = LogException },
    [&aMetrics, sources = std::move(aSources)](const HttpCall& aCall) {
      return Serve(aMetrics, sources, aCall);
    });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  auto server = std::make_unique<AdminServer>();
  server->mListener = std::move(*listener);
  return server;
}

} // namespace porttiller
