#include "porttiller/node/EntryServer.h"

#include "porttiller/node/HopHeaders.h"
#include "porttiller/node/Log.h"

namespace porttiller {

namespace {

constexpr Millis kCallerKeepAlive{ 30'000 };

// Whole seconds, rounded up, as HTTP's Retry-After has it.
std::string
RetryAfterSeconds(Millis aTime)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

} // namespace

EntryServer::EntryServer(const Settings& aSettings,
                         const ConfigController& aConfig,
                         AttemptServices aServices)
  : mSettings(aSettings)
  , mConfig(aConfig)
  , mServices(aServices)
  , mFilters({ FramingFilter(),
               RouteFilter(),
               TermsFilter(),
               BodyFilter(),
               TokenFilter(aServices),
               AttemptFilter(aServices) })
{
}

tl::expected<std::unique_ptr<EntryServer>, std::string>
EntryServer::Make(const Settings& aSettings,
                  const ConfigController& aConfig,
                  AttemptServices aServices)
{
  std::unique_ptr<EntryServer> server(
    new EntryServer(aSettings, aConfig, aServices));
  auto listener =
    HttpListener::Make({ .mAddress = aSettings.mCallers.mAddress,
                         .mThreads = aSettings.mCallers.mThreads,
                         .mKeepAlive = kCallerKeepAlive },
                       [raw = server.get()](auto& aRequest, auto& aResponse) {
                         raw->Serve(aRequest, aResponse);
                       });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  server->mListener = std::move(*listener);
  return server;
}

RequestContext
EntryServer::MakeContext(Poco::Net::HTTPServerRequest& aRequest) const
{
  RequestContext context{ .mSettings = mSettings,
                          .mSnapshot = mConfig.Current(),
                          .mArrival = Now(),
                          .mHttp = ReadHead(aRequest),
                          .mHttpVersion = aRequest.getVersion(),
                          .mBodyStream = &aRequest.stream() };
  if (aRequest.hasContentLength()) {
    context.mContentLength = static_cast<std::int64_t>(
      ParseUnsigned(aRequest.get("Content-Length", "")).value_or(0));
  }
  return context;
}

void
EntryServer::Serve(Poco::Net::HTTPServerRequest& aRequest,
                   Poco::Net::HTTPServerResponse& aResponse)
{
  auto context = MakeContext(aRequest);
  const auto answer = ApplyFilters(mFilters, context);
  mServices.mMetrics.CountRequest(answer.mOutcome);
  if (answer.mOutcome == Outcome::kRun) {
    const auto added = Now() - context.mArrival - context.mHomeTime;
    mServices.mMetrics.AddedLatency().Observe(
      std::chrono::duration<double>(added).count());
  }
  Write(context, answer, aResponse);
}

void
EntryServer::Write(const RequestContext& aContext,
                   const CallerAnswer& aAnswer,
                   Poco::Net::HTTPServerResponse& aResponse)
{
  aResponse.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  auto headers = aAnswer.mHeaders;
  headers.push_back({ hop::kOutcome, std::string(ToText(aAnswer.mOutcome)) });
  if (!aAnswer.mReason.empty()) {
    headers.push_back({ hop::kReason, aAnswer.mReason });
  }
  if (aAnswer.mRetryAfter) {
    headers.push_back(
      { "Retry-After", RetryAfterSeconds(*aAnswer.mRetryAfter) });
    headers.push_back(
      { hop::kRetryAfterMs, std::to_string(aAnswer.mRetryAfter->count()) });
  }
  if (!aAnswer.mToken.empty()) {
    headers.push_back({ hop::kToken, aAnswer.mToken });
  }
  if (aAnswer.mCloseConnection || mDraining) {
    aResponse.setKeepAlive(false);
  }
  SendWhole(aResponse,
            aContext.mHttp.mMethod == "HEAD",
            aAnswer.mStatus,
            headers,
            aAnswer.mBody);
}

void
EntryServer::Stop()
{
  mListener->StopGracefully();
}

} // namespace porttiller
