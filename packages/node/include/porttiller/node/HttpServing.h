// What the daemon's three HTTP servers share.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/node/HttpTypes.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

struct HttpListenerOptions
{
  std::string mAddress; // "ip:port"
  int mThreads = 16;    // connections served at once, and threads
  Millis mKeepAlive{ 30'000 };
};

// A listening address and its threads. Owned by the server that it serves.
class HttpListener
{
public:
  // The error says which address cannot be had, and why.
  static tl::expected<std::unique_ptr<HttpListener>, std::string> Make(
    const HttpListenerOptions& aOptions,
    HttpHandler aHandler);

  ~HttpListener();

  // Takes no new connection; each open one ends after its present request.
  // Returns once the last has ended.
  void StopGracefully();

private:
  explicit HttpListener(int aThreads);

  Poco::ThreadPool mThreads;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

// Method, target and headers; not the body.
HttpRequestData
ReadHead(const Poco::Net::HTTPServerRequest& aRequest);

// aBody with its length; nothing but headers for HEAD.
void
SendWhole(Poco::Net::HTTPServerResponse& aResponse,
          bool aHeadOnly,
          int aStatus,
          const HttpHeaders& aHeaders,
          const std::string& aBody);

} // namespace porttiller
