#include "porttiller/node/RegistrationServer.h"

#include "porttiller/platform/RegistrationMessages.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr int kWorkers = 4;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

HttpReply
Serve(DirectoryController& aDirectory, const HttpCall& aCall)
{
  const auto message = platform::ReadServerMessage(aCall.mHttp);
  if (!message) {
    LogLine(LogLevel::kWarning, "server_message_unreadable")
      .With("target", aCall.mHttp.mTarget)
      .With("error", message.error().mDetail);
    return { .mAnswer = { .mStatus = kBadRequest,
                          .mBody = message.error().mDetail + "\n" } };
  }
  const auto taken = aDirectory.Take(*message);
  if (!taken) {
    LogLine(LogLevel::kWarning, "server_message_refused")
      .With("server", message->mServer.mIncarnation.ToString())
      .With("reason", ToText(taken.error()));
    return { .mAnswer = {
               .mStatus = taken.error() == RegistrationError::kForeign
                            ? kBadRequest
                            : kUnavailable,
               .mBody = std::string(ToText(taken.error())) + "\n" } };
  }
  return { .mAnswer = platform::Acknowledgement() };
}

} // namespace

tl::expected<std::unique_ptr<RegistrationServer>, std::string>
RegistrationServer::Make(const Settings& aSettings,
                         DirectoryController& aDirectory)
{
  auto listener = HttpListener::Make(
    { .mAddress = aSettings.mRegistration.mAddress,
      .mWorkers = kWorkers,
      .mLimits = { .mMaxBodyBytes = kSmallBodyBytes },
      .mOnException = LogException },
    [&aDirectory](const HttpCall& aCall) { return Serve(aDirectory, aCall); });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  auto server = std::make_unique<RegistrationServer>();
  server->mListener = std::move(*listener);
  return server;
}

} // namespace porttiller
