// A test double of a backend server in trouble: to each request it sends bytes
// that never make an answer, until the connection is closed.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace porttiller::standin {

struct EndlessAnswer
{
  std::string mBegin;  // sent once
  std::string mRepeat; // sent again and again
  // After so many bytes it sends nothing more and keeps the connection open.
  std::uint64_t mStopAfter = UINT64_MAX;
};

class EndlessServerStandIn
{
public:
  EndlessServerStandIn(const std::string& aAddress, EndlessAnswer aAnswer);
  ~EndlessServerStandIn();
  EndlessServerStandIn(const EndlessServerStandIn&) = delete;
  EndlessServerStandIn& operator=(const EndlessServerStandIn&) = delete;

  // Whether a request with this value in its head has arrived.
  bool HasSeen(const std::string& aRequestId) const;
  std::size_t Requests() const;
  // Open connections on which a byte of a request has arrived, and the others:
  // a peer opens one to see whether the server accepts connections, and keeps
  // it for its next request.
  int OpenConnections() const { return mOpen; }
  int UnusedConnections() const { return mUnused; }
  // The most that was sent on one connection.
  std::uint64_t MostBytesSent() const { return mMostBytes; }

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket aSocket);
  bool ReadRequest(Poco::Net::StreamSocket& aSocket);
  void SendUntilClosed(Poco::Net::StreamSocket& aSocket);

  const EndlessAnswer mAnswer;
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mOpen{ 0 };
  std::atomic<int> mUnused{ 0 };
  std::atomic<std::uint64_t> mMostBytes{ 0 };
  mutable std::mutex mMutex;
  std::string mHeads;        // of all requests; under mMutex
  std::size_t mRequests = 0; // under mMutex
  std::list<std::thread> mConnections;
  std::thread mAcceptor;
};

} // namespace porttiller::standin
