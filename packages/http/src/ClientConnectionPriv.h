// A connection of a pool, with what was read of it and not used yet.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/MessageReader.h"

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace porttiller {

// Owned by its pool while idle, by its exchange while in use.
struct ClientConnection
{
  Poco::Net::StreamSocket mSocket;
  MessageReader mReader;
  std::string mIn;
  TimePoint mIdleSince;
  TimePoint mUsableUntil; // as the other side said
  Micros mRested{ 0 };    // before the present exchange
};

} // namespace porttiller
