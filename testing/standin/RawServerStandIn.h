// A test double of a server in trouble: answers each request with given bytes,
// whether they are HTTP or not, and keeps the connection open.
#pragma once

#include "porttiller/http/MessageReader.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace porttiller::standin {

class RawServerStandIn
{
public:
  // kId in the answer stands for the id of the request that is answered.
  static constexpr const char* kId = "{id}";

  RawServerStandIn(const std::string& aAddress, std::string aAnswer);
  ~RawServerStandIn();
  RawServerStandIn(const RawServerStandIn&) = delete;
  RawServerStandIn& operator=(const RawServerStandIn&) = delete;

  std::string Address() const { return mListener.address().toString(); }
  void SetAnswer(std::string aAnswer);
  int Requests() const { return mRequests; }
  // Requests that came on a connection on which others had been answered.
  int RequestsOnUsedConnections() const { return mReused; }
  // Whether a request with this id has arrived.
  bool HasSeen(const std::string& aRequestId) const;

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket aSocket);
  // False: the connection has ended, or sends no requests.
  bool ReadRequest(Poco::Net::StreamSocket& aSocket,
                   MessageReader& aReader,
                   std::string& aIn) const;
  std::string AnswerTo(const HttpRequestData& aRequest);

  mutable std::mutex mMutex;
  std::string mAnswer;        // under mMutex
  std::set<std::string> mIds; // of all requests; under mMutex
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mReused{ 0 };
  std::list<std::thread> mConnections;
  std::thread mAcceptor;
};

} // namespace porttiller::standin
