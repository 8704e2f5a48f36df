#include "ListenerRefusalPriv.h"

namespace porttiller {

const char*
ToText(ListenerRefusal aRefusal)
{
  switch (aRefusal) {
    case ListenerRefusal::kMalformed:
      return "malformed-request";
    case ListenerRefusal::kHeadTooLarge:
      return "headers-too-large";
    case ListenerRefusal::kBodyTooLarge:
      return "body-too-large";
    case ListenerRefusal::kRequestTimeout:
      return "request-too-slow";
    case ListenerRefusal::kNoWorker:
      return "no-worker";
    case ListenerRefusal::kHandlerFailed:
      break;
  }
  return "internal-error";
}

int
StatusOf(ListenerRefusal aRefusal)
{
  switch (aRefusal) {
    case ListenerRefusal::kMalformed:
      return 400;
    case ListenerRefusal::kHeadTooLarge:
      return 431;
    case ListenerRefusal::kBodyTooLarge:
      return 413;
    case ListenerRefusal::kRequestTimeout:
      return 408;
    case ListenerRefusal::kNoWorker:
      return 503;
    case ListenerRefusal::kHandlerFailed:
      break;
  }
  return 500;
}

HttpReply
MakeRefusal(const HttpListenerOptions& aOptions, ListenerRefusal aRefusal)
{
  if (aOptions.mRefuse) {
    return aOptions.mRefuse(aRefusal);
  }
  return { .mAnswer = { .mStatus = StatusOf(aRefusal),
                        .mBody = std::string(ToText(aRefusal)) + "\n" } };
}

} // namespace porttiller
