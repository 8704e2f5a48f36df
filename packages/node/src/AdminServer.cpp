#include "porttiller/node/AdminServer.h"

namespace porttiller {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kThreads = 8;

void
Serve(const Metrics& aMetrics,
      const AdminSources& aSources,
      Poco::Net::HTTPServerRequest& aRequest,
      Poco::Net::HTTPServerResponse& aResponse)
{
  const auto& path = aRequest.getURI();
  const bool headOnly = aRequest.getMethod() == "HEAD";
  const HttpHeaders text = { { "Content-Type", "text/plain; version=0.0.4" } };
  const HttpHeaders json = { { "Content-Type", "application/json" } };
  if (path == "/metrics") {
    aSources.mRefresh();
    SendWhole(aResponse, headOnly, kOk, text, aMetrics.Text());
  } else if (path == "/state") {
    SendWhole(aResponse, headOnly, kOk, json, aSources.mState());
  } else if (path == "/health") {
    const bool draining = aSources.mDraining();
    SendWhole(aResponse,
              headOnly,
              draining ? kUnavailable : kOk,
              json,
              draining ? "{\"status\":\"draining\"}\n"
                       : "{\"status\":\"ready\"}\n");
  } else {
    SendWhole(aResponse, headOnly, kNotFound, json, "{}\n");
  }
}

} // namespace

tl::expected<std::unique_ptr<AdminServer>, std::string>
AdminServer::Make(const std::string& aAddress,
                  const Metrics& aMetrics,
                  AdminSources aSources)
{
  auto listener =
    HttpListener::Make({ .mAddress = aAddress, .mThreads = kThreads },
                       [&aMetrics, sources = std::move(aSources)](
                         auto& aRequest, auto& aResponse) {
                         Serve(aMetrics, sources, aRequest, aResponse);
                       });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  auto server = std::make_unique<AdminServer>();
  server->mListener = std::move(*listener);
  return server;
}

} // namespace porttiller
