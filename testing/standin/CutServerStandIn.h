// A test double of a peer that breaks its answers off: it reads a request,
// sends the first bytes of an answer, and ends the connection.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace porttiller::standin {

enum class CutBy
{
  kClose,
  kReset,
  kHalfClose // closes its sending side, and the rest 50 ms later
};

struct CutAnswer
{
  std::string mBytes; // all that is sent
  CutBy mBy = CutBy::kClose;
  std::chrono::milliseconds mDelay{ 0 }; // before the connection ends
};

// Serves one connection at a time, and on each the requests that arrive: the
// n-th with the n-th answer of mNext, where all but the last keep it open.
class CutServerStandIn
{
public:
  using Answers = std::vector<CutAnswer>;

  CutServerStandIn()
    : mListener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Accept(); })
  {
  }

  ~CutServerStandIn()
  {
    mStop = true;
    mThread.join();
  }

  CutServerStandIn(const CutServerStandIn&) = delete;
  CutServerStandIn& operator=(const CutServerStandIn&) = delete;

  std::string Address() const { return mListener.address().toString(); }
  // Of the connections that are accepted from now on. Called while none is
  // open.
  void Set(Answers aAnswers) { mAnswers = std::move(aAnswers); }

private:
  void Accept()
  {
    while (!mStop) {
      if (!mListener.poll(Poco::Timespan(0, 10'000),
                          Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      try {
        Serve(mListener.acceptConnection());
      } catch (const Poco::Exception&) {
        continue; // the client has left
      }
    }
  }

  void Serve(Poco::Net::StreamSocket aSocket) const
  {
    aSocket.setReceiveTimeout(Poco::Timespan(5, 0));
    for (const auto& answer : mAnswers) {
      if (!ReadRequest(aSocket)) {
        return;
      }
      const auto& bytes = answer.mBytes;
      if (!bytes.empty()) {
        aSocket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      }
      if (&answer == &mAnswers.back()) {
        End(aSocket, answer);
      }
    }
  }

  static void End(Poco::Net::StreamSocket& aSocket, const CutAnswer& aAnswer)
  {
    std::this_thread::sleep_for(aAnswer.mDelay);
    if (aAnswer.mBy == CutBy::kReset) {
      // Lets the bytes arrive: a reset discards what the peer has not read.
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      aSocket.setLinger(true, 0);
    } else if (aAnswer.mBy == CutBy::kHalfClose) {
      aSocket.shutdownSend();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  // Without a body, or with one of which the length is ignored.
  static bool ReadRequest(Poco::Net::StreamSocket& aSocket)
  {
    std::string head;
    std::array<char, 4096> buffer{};
    while (head.find("\r\n\r\n") == std::string::npos) {
      const int size = aSocket.receiveBytes(buffer.data(), buffer.size());
      if (size <= 0) {
        return false;
      }
      head.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return true;
  }

  Poco::Net::ServerSocket mListener;
  Answers mAnswers;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace porttiller::standin
