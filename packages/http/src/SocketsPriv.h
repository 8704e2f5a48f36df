// Small helpers around POCO's sockets.
#pragma once

#include "porttiller/core/Time.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

namespace porttiller {

// At least one microsecond: POCO takes zero for "no limit".
Poco::Timespan
ToTimespan(Micros aTime);

// True once there is something to read, or reading tells what is wrong; waits
// up to aTime. One system call: POCO's own poll makes and closes a descriptor
// each time.
bool
AwaitReadable(const Poco::Net::Socket& aSocket, Micros aTime);

// Ends connections whose other side says nothing: a box without power does not
// even reset them. Sent bytes that stay unacknowledged for aTime end it.
void
SetUserTimeout(Poco::Net::StreamSocket& aSocket, Millis aTime);

// Wakes a thread that polls: a datagram socket that is sent to by itself.
class WakeUp
{
public:
  WakeUp();

  const Poco::Net::DatagramSocket& Socket() const { return mSocket; }
  // From any thread.
  void Signal();
  // By the thread that was woken.
  void Clear();

private:
  Poco::Net::DatagramSocket mSocket;
};

} // namespace porttiller
