// Shared by the HTTP stand-ins: a server whose handler is a function, and
// helpers to read requests, send responses and drop connections.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <memory>
#include <string>

namespace porttiller::standin {

using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                   Poco::Net::HTTPServerResponse&)>;

// Serves from construction to destruction on a loopback address.
class HttpStandIn
{
public:
  // Port 0 selects any free port.
  HttpStandIn(const std::string& aAddress, Handler aHandler);
  ~HttpStandIn();
  HttpStandIn(const HttpStandIn&) = delete;
  HttpStandIn& operator=(const HttpStandIn&) = delete;

  std::string Address() const;

private:
  Poco::ThreadPool mThreads;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
  std::string mAddress;
};

std::string
ReadBody(Poco::Net::HTTPServerRequest& aRequest);

void
SendText(Poco::Net::HTTPServerResponse& aResponse,
         int aStatus,
         const std::string& aBody);

// Shuts the connection down at once, before or during a response.
void
CloseConnection(Poco::Net::HTTPServerRequest& aRequest);

// Blocks until the process receives SIGTERM or SIGINT.
void
WaitForSignal();

} // namespace porttiller::standin
