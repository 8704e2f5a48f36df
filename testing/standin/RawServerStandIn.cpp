#include "standin/RawServerStandIn.h"

#include "porttiller/http/MessageReader.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <array>

namespace porttiller::standin {

namespace {

const Poco::Timespan kPoll(0, 20'000);

std::string
IdIn(const HttpHeaders& aHeaders)
{
  const auto id = HeaderValue(aHeaders, "Request-Id");
  return id.empty() ? HeaderValue(aHeaders, "X-Request-Id") : id;
}

} // namespace

RawServerStandIn::RawServerStandIn(const std::string& aAddress,
                                   std::string aAnswer)
  : mAnswer(std::move(aAnswer))
{
  mListener.bind(Poco::Net::SocketAddress(aAddress), true);
  mListener.listen();
  mAcceptor = std::thread([this] { Accept(); });
}

RawServerStandIn::~RawServerStandIn()
{
  mStop = true;
  mAcceptor.join();
  for (auto& connection : mConnections) {
    connection.join();
  }
}

void
RawServerStandIn::SetAnswer(std::string aAnswer)
{
  const std::lock_guard lock(mMutex);
  mAnswer = std::move(aAnswer);
}

bool
RawServerStandIn::HasSeen(const std::string& aRequestId) const
{
  const std::lock_guard lock(mMutex);
  return mIds.contains(aRequestId);
}

void
RawServerStandIn::Accept()
{
  while (!mStop) {
    if (mListener.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
      const auto socket = mListener.acceptConnection();
      mConnections.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

void
RawServerStandIn::Serve(Poco::Net::StreamSocket aSocket)
{
  MessageReader reader(MessageKind::kRequest, {});
  std::string in;
  bool used = false;
  try {
    while (ReadRequest(aSocket, reader, in)) {
      ++mRequests;
      mReused += used ? 1 : 0;
      used = true;
      const auto bytes = AnswerTo(reader.TakeRequest());
      reader.Next();
      aSocket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
  } catch (const Poco::Exception&) {
    aSocket.close(); // the peer has closed it
  }
}

bool
RawServerStandIn::ReadRequest(Poco::Net::StreamSocket& aSocket,
                              MessageReader& aReader,
                              std::string& aIn) const
{
  std::array<char, 4096> buffer{};
  while (!mStop) {
    const auto used = aReader.Feed(aIn);
    if (!used) {
      return false;
    }
    aIn.erase(0, *used);
    if (aReader.IsComplete()) {
      return true;
    }
    if (!aSocket.poll(kPoll, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    const int size = aSocket.receiveBytes(buffer.data(), buffer.size());
    if (size <= 0) {
      return false;
    }
    aIn.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return false;
}

std::string
RawServerStandIn::AnswerTo(const HttpRequestData& aRequest)
{
  const auto id = IdIn(aRequest.mHeaders);
  const std::lock_guard lock(mMutex);
  mIds.insert(id);
  return Poco::replace(mAnswer, std::string(kId), id);
}

} // namespace porttiller::standin
