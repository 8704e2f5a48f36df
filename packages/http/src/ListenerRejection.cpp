#include "ListenerRejectionPriv.h"

namespace porttiller {

const char*
ToText(ListenerRejection aRejection)
{
  switch (aRejection) {
    case ListenerRejection::kMalformed:
      return "malformed-request";
    case ListenerRejection::kHeadTooLarge:
      return "headers-too-large";
    case ListenerRejection::kBodyTooLarge:
      return "body-too-large";
    case ListenerRejection::kRequestTimeout:
      return "request-too-slow";
    case ListenerRejection::kNoWorker:
      return "no-worker";
    case ListenerRejection::kUnsentFull:
      return "unsent-full";
    case ListenerRejection::kNoMemory:
      return "no-memory";
    case ListenerRejection::kAnswerNoMemory:
      return "answer-no-memory";
    case ListenerRejection::kHandlerFailed:
      break;
  }
  return "internal-error";
}

int
StatusOf(ListenerRejection aRejection)
{
  switch (aRejection) {
    case ListenerRejection::kMalformed:
      return 400;
    case ListenerRejection::kHeadTooLarge:
      return 431;
    case ListenerRejection::kBodyTooLarge:
      return 413;
    case ListenerRejection::kRequestTimeout:
      return 408;
    case ListenerRejection::kNoWorker:
    case ListenerRejection::kUnsentFull:
    case ListenerRejection::kNoMemory:
      return 503;
    case ListenerRejection::kAnswerNoMemory:
      return 504;
    case ListenerRejection::kHandlerFailed:
      break;
  }
  return 500;
}

const char*
ToText(SlowReader aReader)
{
  return aReader == SlowReader::kStopped ? "stopped" : "too-slow";
}

HttpReply
MakeRejection(const HttpListenerOptions& aOptions,
              ListenerRejection aRejection,
              std::optional<Millis> aRetryAfter)
{
  if (aOptions.mMakeRejection) {
    return aOptions.mMakeRejection(aRejection, aRetryAfter);
  }
  HttpReply reply{ .mAnswer = { .mStatus = StatusOf(aRejection),
                                .mBody =
                                  std::string(ToText(aRejection)) + "\n" } };
  if (aRetryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aRetryAfter);
    reply.mAnswer.mHeaders.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return reply;
}

} // namespace porttiller
