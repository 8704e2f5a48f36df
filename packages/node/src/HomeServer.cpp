#include "porttiller/node/HomeServer.h"

#include "porttiller/node/HopCodec.h"

namespace porttiller {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
// Longer than an entry keeps its idle connections, so that the entry closes
// first and never writes into a closing one.
constexpr Millis kPeerKeepAlive{ 30'000 };

int
StatusOf(const HomeAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case Outcome::kRun:
      return aAnswer.mHttp.mStatus;
    case Outcome::kNotRun:
      return kUnavailable;
    case Outcome::kUnknown:
      break;
  }
  return kTimeout;
}

// True once the whole body is in aRequest.mBody.
bool
ReadBody(Poco::Net::HTTPServerRequest& aHttp,
         std::int64_t aMaxBytes,
         HttpRequestData& aRequest)
{
  if (!aHttp.hasContentLength()) {
    return true;
  }
  const auto length = aHttp.getContentLength64();
  if (length < 0 || length > aMaxBytes) {
    return false;
  }
  aRequest.mBody.resize(static_cast<std::size_t>(length));
  aHttp.stream().read(aRequest.mBody.data(), length);
  return aHttp.stream().gcount() == length;
}

} // namespace

HomeServer::HomeServer(const Settings& aSettings, Home& aHome)
  : mSettings(aSettings)
  , mHome(aHome)
{
}

tl::expected<std::unique_ptr<HomeServer>, std::string>
HomeServer::Make(const Settings& aSettings, Home& aHome)
{
  std::unique_ptr<HomeServer> server(new HomeServer(aSettings, aHome));
  auto listener =
    HttpListener::Make({ .mAddress = aSettings.mPeers.mHomeAddress,
                         .mThreads = aSettings.mPeers.mThreads,
                         .mKeepAlive = kPeerKeepAlive },
                       [raw = server.get()](auto& aRequest, auto& aResponse) {
                         raw->Serve(aRequest, aResponse);
                       });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  server->mListener = std::move(*listener);
  return server;
}

void
HomeServer::Serve(Poco::Net::HTTPServerRequest& aRequest,
                  Poco::Net::HTTPServerResponse& aResponse)
{
  auto http = ReadHead(aRequest);
  const bool whole = ReadBody(aRequest, mSettings.mCallers.mMaxBodyBytes, http);
  const bool headOnly = http.mMethod == "HEAD";
  const auto request = DecodeHomeRequest(std::move(http), Now());
  if (!whole || !request) {
    aResponse.setKeepAlive(false);
    SendWhole(aResponse, headOnly, kBadRequest, {}, "not an attempt\n");
    return;
  }
  auto answer = mHome.Handle(*request);
  auto headers =
    EncodeHomeAnswer(answer, request->mAttempt, mHome.OwnIncarnation(), Now());
  const auto passedOn = WithoutHopHeaders(answer.mHttp.mHeaders);
  headers.insert(headers.end(), passedOn.begin(), passedOn.end());
  SendWhole(aResponse, headOnly, StatusOf(answer), headers, answer.mHttp.mBody);
}

void
HomeServer::Stop()
{
  mListener->StopGracefully();
}

} // namespace porttiller
