#include "standin/HttpStandIn.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <csignal>

namespace porttiller::standin {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kMaxThreads = 300;
constexpr int kBacklog = 256;
constexpr int kKeepAliveSeconds = 30;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit FunctionHandler(const Handler& aHandler)
    : mHandler(aHandler)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    mHandler(aRequest, aResponse);
  }

private:
  const Handler& mHandler;
};

class FunctionFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionFactory(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const HTTPServerRequest&) override
  {
    return new FunctionHandler(mHandler);
  }

private:
  Handler mHandler;
};

} // namespace

HttpStandIn::HttpStandIn(const std::string& aAddress, Handler aHandler)
  : mThreads(2, kMaxThreads)
{
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(aAddress), true, false);
  socket.listen(kBacklog);
  mAddress = socket.address().toString();
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kBacklog);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  mServer = std::make_unique<Poco::Net::HTTPServer>(
    new FunctionFactory(std::move(aHandler)), mThreads, socket, params);
  mServer->start();
}

HttpStandIn::~HttpStandIn()
{
  mServer->stopAll(true);
  mServer.reset();
  mThreads.joinAll();
}

std::string
HttpStandIn::Address() const
{
  return mAddress;
}

std::string
ReadBody(HTTPServerRequest& aRequest)
{
  std::string body;
  Poco::StreamCopier::copyToString(aRequest.stream(), body);
  return body;
}

void
SendText(HTTPServerResponse& aResponse, int aStatus, const std::string& aBody)
{
  aResponse.setStatusAndReason(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  aResponse.setContentType("application/json");
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

void
CloseConnection(HTTPServerRequest& aRequest)
{
  try {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest)
      .socket()
      .shutdown();
  } catch (const Poco::Exception&) {
    // The peer has closed the connection already.
    return;
  }
}

void
WaitForSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace porttiller::standin
