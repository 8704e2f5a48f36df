#include "SocketsPriv.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace porttiller {

namespace {

// An hour. AwaitReadable polls again after that; poll(2) takes an int.
constexpr Millis::rep kMaxPollMs = 3'600'000;
// POCO takes sizes as int.
constexpr std::size_t kMaxSendBytes = 1 << 20;

bool
IsBufferFull(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

} // namespace

Poco::Timespan
ToTimespan(Micros aTime)
{
  return { std::max<std::int64_t>(1, aTime.count()) };
}

bool
AwaitReadable(const Poco::Net::Socket& aSocket, Micros aTime)
{
  pollfd item{ .fd = aSocket.impl()->sockfd(), .events = POLLIN, .revents = 0 };
  const auto until = Now() + aTime;
  for (;;) {
    const auto left = std::chrono::ceil<Millis>(until - Now());
    const int found = ::poll(
      &item,
      1,
      static_cast<int>(std::clamp<Millis::rep>(left.count(), 0, kMaxPollMs)));
    if (found != 0 && (found > 0 || errno != EINTR)) {
      return true;
    }
    if (Now() >= until) {
      return false;
    }
  }
}

Poco::Net::SocketBufVec
ToBuffers(const std::vector<std::string_view>& aParts,
          std::size_t aSkip,
          std::size_t aMost)
{
  Poco::Net::SocketBufVec buffers;
  for (const auto part : aParts) {
    const auto skipped = std::min(aSkip, part.size());
    const auto size = std::min(part.size() - skipped, aMost);
    aSkip -= skipped;
    aMost -= size;
    if (size > 0) {
      // The system reads these bytes only.
      auto* begin = const_cast<char*>(part.data()) + skipped;
      buffers.push_back({ .iov_base = begin, .iov_len = size });
    }
  }
  return buffers;
}

std::optional<std::size_t>
SendAvailable(Poco::Net::StreamSocket& aSocket,
              const std::vector<std::string_view>& aParts)
{
  try {
    const int sent = aSocket.sendBytes(ToBuffers(aParts, 0, kMaxSendBytes));
    return static_cast<std::size_t>(std::max(sent, 0));
  } catch (const Poco::TimeoutException&) {
    return 0;
  } catch (const Poco::Exception& e) {
    return IsBufferFull(e.code()) ? std::optional<std::size_t>(0)
                                  : std::nullopt;
  }
}

std::size_t
UnacknowledgedBytes(const Poco::Net::Socket& aSocket)
{
  int bytes = 0;
  const int result = ::ioctl(aSocket.impl()->sockfd(), SIOCOUTQ, &bytes);
  return result == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void
SetUserTimeout(Poco::Net::StreamSocket& aSocket, Millis aTime)
{
  aSocket.setOption(
    IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTime.count()));
}

void
SetMaxSegment(Poco::Net::ServerSocket& aSocket, int aBytes)
{
  try {
    aSocket.setOption(IPPROTO_TCP, TCP_MAXSEG, aBytes);
  } catch (const Poco::Exception&) {
    return; // answers are slower then
  }
}

WakeUp::WakeUp()
  : mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
{
  mSocket.connect(mSocket.address());
  mSocket.setBlocking(false);
}

void
WakeUp::Signal()
{
  const char byte = 0;
  try {
    mSocket.sendBytes(&byte, 1);
  } catch (const Poco::Exception&) {
    return; // buffer full: a wake-up is pending already
  }
}

void
WakeUp::Clear()
{
  char byte = 0;
  try {
    while (mSocket.receiveBytes(&byte, 1) > 0) {
    }
  } catch (const Poco::Exception&) {
    return; // nothing more to read
  }
}

} // namespace porttiller
