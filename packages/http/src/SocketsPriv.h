// Helpers for POCO sockets.
#pragma once

#include "porttiller/core/Time.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace porttiller {

// At least one microsecond, as zero means "no timeout" to POCO.
Poco::Timespan
ToTimespan(Micros aTime);

// Waits up to aTime for input; also true on an error, which the next read
// reports. Calls poll(2) directly, as POCO's Socket::poll creates and closes an
// epoll descriptor on each call.
bool
AwaitReadable(const Poco::Net::Socket& aSocket, Micros aTime);

// Sends as much of the parts, one after another, as the send buffer of a
// non-blocking socket takes, in one gathering write. Returns the number of
// bytes taken, 0 while the buffer is full; null when the connection has failed.
// POCO reports a full buffer by the same exception type as a failed connection.
std::optional<std::size_t>
SendAvailable(Poco::Net::StreamSocket& aSocket,
              const std::vector<std::string_view>& aParts);

// The parts of a gathering write, without the first aSkip bytes and at most
// aMost bytes long.
Poco::Net::SocketBufVec
ToBuffers(const std::vector<std::string_view>& aParts,
          std::size_t aSkip,
          std::size_t aMost);

// Sent bytes that the peer has not acknowledged; 0 if that is unknown.
std::size_t
UnacknowledgedBytes(const Poco::Net::Socket& aSocket);

// Sets TCP_USER_TIMEOUT: the connection ends if sent bytes stay unacknowledged
// for aTime. A box that lost power sends no reset.
void
SetUserTimeout(Poco::Net::StreamSocket& aSocket, Millis aTime);

// Sets TCP_MAXSEG of the connections that a socket accepts, in bytes, where the
// system allows that.
void
SetMaxSegment(Poco::Net::ServerSocket& aSocket, int aBytes);

// Wakes a thread that polls: a UDP socket that sends to itself.
class WakeUp
{
public:
  WakeUp();

  const Poco::Net::DatagramSocket& Socket() const { return mSocket; }
  // Callable from any thread.
  void Signal();
  // Called by the woken thread.
  void Clear();

private:
  Poco::Net::DatagramSocket mSocket;
};

} // namespace porttiller
