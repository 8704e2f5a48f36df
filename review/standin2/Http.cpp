#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kChunkBytes = 64 << 10;
constexpr int kBacklog = 512;
constexpr int kAcceptPollMs = 20;

sockaddr_in
ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto port = std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

// False when aUntil has passed first.
bool
WaitFor(int aSocket, short aEvents, Clock::time_point aUntil)
{
  for (;;) {
    const auto left = std::chrono::ceil<Millis>(aUntil - Clock::now()).count();
    if (left <= 0) {
      return false;
    }
    pollfd entry{ .fd = aSocket, .events = aEvents, .revents = 0 };
    const auto capped = static_cast<int>(std::min<Millis::rep>(left, 60'000));
    const int ready = poll(&entry, 1, capped);
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

std::string
Trimmed(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::string
HeaderOf(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

std::string
ToText(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

Connection::Connection(int aSocket)
  : mSocket(aSocket)
{
  if (mSocket >= 0) {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }
}

Connection::Connection(Connection&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
  , mIn(std::move(aOther.mIn))
{
}

Connection::~Connection()
{
  Close();
}

void
Connection::Close()
{
  if (mSocket >= 0) {
    close(mSocket);
    mSocket = -1;
  }
}

Connection
Connection::To(const std::string& aAddress, Millis aTime)
{
  const int made =
    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = ParseAddress(aAddress);
  const auto* plain = reinterpret_cast<const sockaddr*>(&address);
  if (connect(made, plain, sizeof address) != 0 && errno != EINPROGRESS) {
    close(made);
    return Connection();
  }
  int error = 0;
  socklen_t size = sizeof error;
  const bool ready = WaitFor(made, POLLOUT, Clock::now() + aTime);
  getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!ready || error != 0) {
    close(made);
    return Connection();
  }
  return Connection(made);
}

bool
Connection::Write(const std::string& aBytes, Clock::time_point aUntil)
{
  std::size_t sent = 0;
  while (IsOpen() && sent < aBytes.size()) {
    const auto size =
      send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
    } else if ((errno != EAGAIN && errno != EINTR) ||
               !WaitFor(mSocket, POLLOUT, aUntil)) {
      return false;
    }
  }
  return IsOpen();
}

bool
Connection::WriteRequest(const Request& aRequest, Clock::time_point aUntil)
{
  std::string text =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod != "GET") {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return Write(text + "\r\n", aUntil) && Write(aRequest.mBody, aUntil);
}

bool
Connection::ReadMore(Clock::time_point aUntil)
{
  std::array<char, kChunkBytes> buffer{};
  for (;;) {
    if (!IsOpen() || !WaitFor(mSocket, POLLIN, aUntil)) {
      return false;
    }
    const auto size = recv(mSocket, buffer.data(), buffer.size(), 0);
    if (size > 0) {
      mIn.append(buffer.data(), static_cast<std::size_t>(size));
      return true;
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
}

bool
Connection::ReadHead(std::string& aFirstLine,
                     Headers& aHeaders,
                     Clock::time_point aUntil)
{
  std::size_t end = 0;
  while ((end = mIn.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aUntil)) {
      return false;
    }
  }
  const auto head = mIn.substr(0, end + 2);
  mIn.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  aFirstLine = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const auto next = head.find("\r\n", at);
    const auto line = head.substr(at, next - at);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      aHeaders.emplace_back(line.substr(0, colon),
                            Trimmed(line.substr(colon + 1)));
    }
    at = next + 2;
  }
  return true;
}

bool
Connection::ReadBody(const Headers& aHeaders,
                     std::string& aBody,
                     Clock::time_point aUntil)
{
  const auto length =
    std::strtoull(HeaderOf(aHeaders, "Content-Length").c_str(), nullptr, 10);
  while (mIn.size() < length) {
    if (!ReadMore(aUntil)) {
      return false;
    }
  }
  aBody = mIn.substr(0, length);
  mIn.erase(0, length);
  return true;
}

Response
Connection::ReadResponse(Clock::time_point aUntil)
{
  const auto start = Clock::now();
  Response response;
  std::string line;
  const bool whole = ReadHead(line, response.mHeaders, aUntil) &&
                     ReadBody(response.mHeaders, response.mBody, aUntil);
  response.mTook = std::chrono::duration_cast<Millis>(Clock::now() - start);
  if (whole && line.size() > 12) {
    response.mStatus = std::atoi(line.c_str() + 9);
  }
  response.mTimedOut = !whole && Clock::now() >= aUntil;
  return response;
}

bool
Connection::ReadRequest(Request& aRequest)
{
  const auto until = Clock::now() + std::chrono::hours(1);
  std::string line;
  aRequest = {};
  if (!ReadHead(line, aRequest.mHeaders, until)) {
    return false;
  }
  const auto first = line.find(' ');
  const auto second = line.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos) {
    return false;
  }
  aRequest.mMethod = line.substr(0, first);
  aRequest.mTarget = line.substr(first + 1, second - first - 1);
  return ReadBody(aRequest.mHeaders, aRequest.mBody, until);
}

bool
Connection::PeerClosed() const
{
  char byte = 0;
  const auto size = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

Response
Send(const std::string& aAddress, const Request& aRequest, Millis aTime)
{
  const auto until = Clock::now() + aTime;
  auto connection = Connection::To(aAddress, aTime);
  if (!connection.WriteRequest(aRequest, until)) {
    return { .mTimedOut = Clock::now() >= until };
  }
  return connection.ReadResponse(until);
}

Listener::Listener(const std::string& aAddress, ServeRequest aServe)
  : mServe(std::move(aServe))
  , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
  const auto address = ParseAddress(aAddress);
  const auto* plain = reinterpret_cast<const sockaddr*>(&address);
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(mSocket, plain, sizeof address) != 0 ||
      listen(mSocket, kBacklog) != 0) {
    close(mSocket);
    throw std::runtime_error(aAddress + ": " + std::strerror(errno));
  }
  mThread = std::thread([this] { Accept(); });
}

Listener::~Listener()
{
  mStop = true;
  mThread.join();
  close(mSocket);
}

// Threads of connections are detached: the program ends with them.
void
Listener::Accept()
{
  while (!mStop) {
    pollfd entry{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    poll(&entry, 1, kAcceptPollMs);
    const int made = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0) {
      continue;
    }
    std::thread([serve = mServe, made] {
      Connection connection(made);
      Request request;
      while (connection.ReadRequest(request) && serve(request, connection)) {
      }
    }).detach();
  }
}

} // namespace review
