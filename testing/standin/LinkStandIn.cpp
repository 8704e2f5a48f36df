#include "standin/LinkStandIn.h"

#include "porttiller/core/Time.h"

#include <Poco/Exception.h>
#include <array>

namespace porttiller::standin {

namespace {

constexpr int kPollMicros = 1000;
constexpr Millis kSilentPoll{ 20 };
constexpr int kBacklog = 64;

// Forwards or drops the bytes that are ready on one socket; false at the end of
// the stream.
bool
ForwardOnce(Poco::Net::StreamSocket& aFrom,
            Poco::Net::StreamSocket& aTo,
            bool aDrop)
{
  if (!aFrom.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    return true;
  }
  std::array<char, 16384> buffer{};
  const int size = aFrom.receiveBytes(buffer.data(), buffer.size());
  if (size <= 0) {
    return false;
  }
  int sent = aDrop ? size : 0;
  while (sent < size) {
    sent += aTo.sendBytes(buffer.data() + sent, size - sent);
  }
  return true;
}

} // namespace

LinkStandIn::LinkStandIn(const std::string& aTarget)
  : mTarget(aTarget)
{
  mAddress = Poco::Net::SocketAddress("127.0.0.1:0");
  Listen();
  mAddress = mListener.address();
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
LinkStandIn::Silence()
{
  SilenceForward();
  SilenceBackward();
}

void
LinkStandIn::Listen()
{
  mListener = Poco::Net::ServerSocket();
  mListener.bind(mAddress, true);
  mListener.listen(kBacklog);
}

// Only this thread uses mListener.
void
LinkStandIn::Accept()
{
  bool listening = true;
  while (!mStop) {
    if (listening == mRefuses) {
      if (mRefuses) {
        mListener.close();
        Reset();
      } else {
        Listen();
      }
      listening = !listening;
    }
    if (listening) {
      AcceptOne();
    } else {
      std::this_thread::sleep_for(Micros(kPollMicros));
    }
  }
}

void
LinkStandIn::AcceptOne()
{
  if (!mListener.poll(Poco::Timespan(kPollMicros),
                      Poco::Net::Socket::SELECT_READ)) {
    return;
  }
  auto client = mListener.acceptConnection();
  const int number = ++mOpened;
  mRelays.emplace_back([this, client, number] { Relay(client, number); });
}

bool
LinkStandIn::IsSilent(int aNumber) const
{
  return aNumber <= mSilentForward || aNumber <= mSilentBackward;
}

void
LinkStandIn::Relay(Poco::Net::StreamSocket aClient, int aNumber)
{
  try {
    RelayUntilEnd(aClient, aNumber);
  } catch (const Poco::Exception&) {
    // One side has closed or reset its connection; close the other side as
    // well.
    return;
  }
}

void
LinkStandIn::RelayUntilEnd(Poco::Net::StreamSocket& aClient, int aNumber)
{
  const int generation = mGeneration;
  Poco::Net::StreamSocket server(mTarget);
  server.setNoDelay(true);
  aClient.setNoDelay(true);
  bool open = true;
  while (!mStop && generation == mGeneration && open) {
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
    open =
      mForwardCut || ForwardOnce(aClient, server, aNumber <= mSilentForward);
    open = open && (mBackwardCut ||
                    ForwardOnce(server, aClient, aNumber <= mSilentBackward));
  }
  // While a connection is silent, neither side sees the other one close it.
  while (!mStop && generation == mGeneration && IsSilent(aNumber)) {
    std::this_thread::sleep_for(kSilentPoll);
  }
}

} // namespace porttiller::standin
