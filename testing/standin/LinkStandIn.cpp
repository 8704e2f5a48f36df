#include "standin/LinkStandIn.h"

#include "porttiller/core/Time.h"

#include <Poco/Exception.h>
#include <array>

namespace porttiller::standin {

namespace {

constexpr int kPollMicros = 1000;
constexpr int kBacklog = 64;

// Moves what is there from one socket to the other; false when it ended.
bool
Pump(Poco::Net::StreamSocket& aFrom, Poco::Net::StreamSocket& aTo)
{
  if (!aFrom.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    return true;
  }
  std::array<char, 16384> buffer{};
  const int size = aFrom.receiveBytes(buffer.data(), buffer.size());
  if (size <= 0) {
    return false;
  }
  int sent = 0;
  while (sent < size) {
    sent += aTo.sendBytes(buffer.data() + sent, size - sent);
  }
  return true;
}

} // namespace

LinkStandIn::LinkStandIn(const std::string& aTarget)
  : mTarget(aTarget)
{
  mListener.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
  mListener.listen(kBacklog);
  mAcceptor = std::thread([this] { Accept(); });
}

LinkStandIn::~LinkStandIn()
{
  mStop = true;
  mAcceptor.join();
  for (auto& relay : mRelays) {
    relay.join();
  }
}

void
LinkStandIn::Reset()
{
  ++mGeneration;
}

void
LinkStandIn::Accept()
{
  while (!mStop) {
    if (!mListener.poll(Poco::Timespan(kPollMicros),
                        Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    auto client = mListener.acceptConnection();
    mRelays.emplace_back([this, client] { Relay(client); });
  }
}

void
LinkStandIn::Relay(Poco::Net::StreamSocket aClient)
{
  const int generation = mGeneration;
  try {
    Poco::Net::StreamSocket server(mTarget);
    server.setNoDelay(true);
    aClient.setNoDelay(true);
    while (!mStop && generation == mGeneration) {
      Poco::Net::Socket::SocketList readable;
      if (!mForwardCut) {
        readable.push_back(aClient);
      }
      if (!mBackwardCut) {
        readable.push_back(server);
      }
      Poco::Net::Socket::SocketList none;
      if (readable.empty()) {
        std::this_thread::sleep_for(Micros(kPollMicros));
        continue;
      }
      Poco::Net::Socket::select(
        readable, none, none, Poco::Timespan(kPollMicros));
      if (!mForwardCut && !Pump(aClient, server)) {
        break;
      }
      if (!mBackwardCut && !Pump(server, aClient)) {
        break;
      }
    }
  } catch (const Poco::Exception&) {
    // Either end went away: so does the relayed connection.
    return;
  }
}

} // namespace porttiller::standin
