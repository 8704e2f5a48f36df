#include "standin/EndlessServerStandIn.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>

namespace porttiller::standin {

namespace {

const Poco::Timespan kPoll(0, 20'000);
constexpr std::size_t kMinSendBytes = 4096;

} // namespace

EndlessServerStandIn::EndlessServerStandIn(const std::string& aAddress,
                                           EndlessAnswer aAnswer)
  : mAnswer(std::move(aAnswer))
{
  mListener.bind(Poco::Net::SocketAddress(aAddress), true);
  mListener.listen();
  mAcceptor = std::thread([this] { Accept(); });
}

EndlessServerStandIn::~EndlessServerStandIn()
{
  mStop = true;
  mAcceptor.join();
  for (auto& connection : mConnections) {
    connection.join();
  }
}

bool
EndlessServerStandIn::HasSeen(const std::string& aRequestId) const
{
  const std::lock_guard lock(mMutex);
  return mHeads.find(" " + aRequestId + "\r\n") != std::string::npos;
}

std::size_t
EndlessServerStandIn::Requests() const
{
  const std::lock_guard lock(mMutex);
  return mRequests;
}

void
EndlessServerStandIn::Accept()
{
  while (!mStop) {
    if (mListener.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
      const auto socket = mListener.acceptConnection();
      ++mUnused;
      mConnections.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

void
EndlessServerStandIn::Serve(Poco::Net::StreamSocket aSocket)
{
  bool used = false;
  try {
    aSocket.setSendTimeout(kPoll);
    while (!mStop && !aSocket.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
    }
    used = !mStop && aSocket.available() > 0;
    if (used) {
      ++mOpen;
      --mUnused;
    }
    if (ReadRequest(aSocket)) {
      SendUntilClosed(aSocket);
    }
  } catch (const Poco::Exception&) {
    aSocket.close(); // the peer has closed it
  }
  --(used ? mOpen : mUnused);
}

bool
EndlessServerStandIn::ReadRequest(Poco::Net::StreamSocket& aSocket)
{
  std::string head;
  std::array<char, 4096> buffer{};
  while (!mStop && head.find("\r\n\r\n") == std::string::npos) {
    if (!aSocket.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    const int size = aSocket.receiveBytes(buffer.data(), buffer.size());
    if (size <= 0) {
      return false;
    }
    head.append(buffer.data(), static_cast<std::size_t>(size));
  }
  const std::lock_guard lock(mMutex);
  mHeads += head;
  ++mRequests;
  return !mStop;
}

void
EndlessServerStandIn::SendUntilClosed(Poco::Net::StreamSocket& aSocket)
{
  std::string bytes = mAnswer.mBegin;
  std::string repeat;
  while (repeat.size() < kMinSendBytes) {
    repeat += mAnswer.mRepeat;
  }
  std::uint64_t sent = 0;
  while (!mStop) {
    if (sent >= mAnswer.mStopAfter) {
      if (aSocket.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
        return; // closed
      }
      continue;
    }
    if (bytes.empty()) {
      bytes = repeat;
    }
    try {
      const int size =
        aSocket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      bytes.erase(0, static_cast<std::size_t>(std::max(size, 0)));
      sent += static_cast<std::uint64_t>(std::max(size, 0));
    } catch (const Poco::TimeoutException&) {
      continue; // the peer does not read
    }
    auto most = mMostBytes.load();
    while (sent > most && !mMostBytes.compare_exchange_weak(most, sent)) {
    }
  }
}

} // namespace porttiller::standin
