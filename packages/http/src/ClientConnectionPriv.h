// A connection of an HttpPool.
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
  std::string mIn; // read and not parsed yet
  TimePoint mIdleSince;
  TimePoint mUsableUntil; // from the peer's Keep-Alive header
  Micros mIdleTime{ 0 };  // idle time before the current exchange
};

} // namespace porttiller
