#include "porttiller/home/HomeServer.h"

#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/HopCodec.h"
#include "porttiller/hop/RequestDigests.h"
#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
// Longer than the idle timeout of entries, so that the entry closes an idle
// connection first and never sends on one that the home is closing.
constexpr Millis kEntryIdleClose{ 30'000 };
// Entries enforce the limits for callers; these bound the memory of a request
// from another box.
constexpr std::size_t kMaxHeaders = 1000;
constexpr std::size_t kMaxHeaderBytes = 1 << 20;

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

} // namespace

HomeServer::HomeServer(const Settings& aSettings, Home& aHome)
  : mNames(EdgeHeadersOf(aSettings))
  , mHome(aHome)
{
}

tl::expected<std::unique_ptr<HomeServer>, std::string>
HomeServer::Make(const Settings& aSettings,
                 Home& aHome,
                 std::shared_ptr<BodyBudget> aBodyBudget)
{
  std::unique_ptr<HomeServer> server(new HomeServer(aSettings, aHome));
  auto listener = HttpListener::Make(
    { .mAddress = aSettings.mPeers.mHomeAddress,
      .mWorkers = aSettings.mPeers.mThreads,
      .mConnections = aSettings.mPeers.mConnections,
      .mLimits = { .mMaxHeaders = kMaxHeaders,
                   .mMaxHeaderBytes = kMaxHeaderBytes,
                   .mMaxBodyBytes = kMaxBodyBytes },
      .mIdleClose = kEntryIdleClose,
      .mBodyBudget = std::move(aBodyBudget),
      .mOnException = LogException },
    [raw = server.get()](HttpCall& aCall) { return raw->Serve(aCall); });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  server->mListener = std::move(*listener);
  return server;
}

HttpReply
HomeServer::Serve(HttpCall& aCall)
{
  auto request = DecodeHomeRequest(std::move(aCall.mHttp), aCall.mArrival);
  if (!request) {
    return { .mAnswer = { .mStatus = kBadRequest, .mBody = "not an attempt\n" },
             .mClose = true };
  }
  if (!mNames.mRequestId.empty()) {
    request->mRequestId =
      HeaderValue(request->mHttp.mHeaders, mNames.mRequestId);
  }
  request->mDigest = DigestOf(request->mHttp, request->mHttp.mHeaders, mNames);
  request->mCancelled = aCall.mCancelled;
  auto answer = mHome.Handle(*request);
  HttpReply reply{ .mAnswer = { .mStatus = StatusOf(answer) } };
  reply.mAnswer.mHeaders =
    EncodeHomeAnswer(answer, request->mAttempt, mHome.OwnIncarnation(), Now());
  for (auto& header : WithoutHopHeaders(answer.mHttp.mHeaders)) {
    reply.mAnswer.mHeaders.push_back(std::move(header));
  }
  reply.mAnswer.mBody = std::move(answer.mHttp.mBody);
  return reply;
}

void
HomeServer::Stop()
{
  mListener->StopGracefully();
}

} // namespace porttiller
