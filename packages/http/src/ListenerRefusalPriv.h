// The answers of a listener to what it cannot hand to its handler.
#pragma once

#include "porttiller/http/HttpListener.h"

namespace porttiller {

// The owner's own form of the refusal, or a plain one.
HttpReply
MakeRefusal(const HttpListenerOptions& aOptions, ListenerRefusal aRefusal);

} // namespace porttiller
