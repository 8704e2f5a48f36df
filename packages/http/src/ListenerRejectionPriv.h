// Answers of a listener to requests that do not reach its handler.
#pragma once

#include "porttiller/http/HttpListener.h"

namespace porttiller {

// Made by mMakeRejection of aOptions, or plain text if that is not set.
HttpReply
MakeRejection(const HttpListenerOptions& aOptions,
              ListenerRejection aRejection,
              std::optional<Millis> aRetryAfter = std::nullopt);

} // namespace porttiller
