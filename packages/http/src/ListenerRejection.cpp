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
      return 503;
    case ListenerRejection::kHandlerFailed:
      break;
  }
  return 500;
}

HttpReply
MakeRejection(const HttpListenerOptions& aOptions, ListenerRejection aRejection)
{
  if (aOptions.mMakeRejection) {
    return aOptions.mMakeRejection(aRejection);
  }
  return { .mAnswer = { .mStatus = StatusOf(aRejection),
                        .mBody = std::string(ToText(aRejection)) + "\n" } };
}

} // namespace porttiller
