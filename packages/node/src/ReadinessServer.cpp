#include "porttiller/node/ReadinessServer.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

} // namespace

tl::expected<std::unique_ptr<ReadinessServer>, std::string>
ReadinessServer::Make(const ReadinessSettings& aSettings,
                      std::function<bool()> aReady)
{
  auto listener = HttpListener::Make(
    { .mAddress = aSettings.mAddress,
      .mWorkers = 0,
      .mLimits = { .mMaxBodyBytes = kSmallBodyBytes },
      .mOnException = LogException },
    [path = aSettings.mPath, ready = std::move(aReady)](const HttpCall& aCall) {
      if (aCall.mHttp.mTarget != path) {
        return HttpReply{ .mAnswer = { .mStatus = kNotFound } };
      }
      const bool isReady = ready();
      return HttpReply{ .mAnswer = { .mStatus = isReady ? kOk : kUnavailable,
                                     .mBody =
                                       isReady ? "ready\n" : "not ready\n" } };
    });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  auto server = std::make_unique<ReadinessServer>();
  server->mListener = std::move(*listener);
  return server;
}

} // namespace porttiller
