#include "porttiller/entry/EntryServer.h"

#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/NumberFormatter.h>

namespace porttiller {

namespace {

constexpr Millis kCallerKeepAlive{ 30'000 };
// The least rate at which callers must read answers, in bytes per second. A
// response of 540 KB is then held for nine minutes at most.
constexpr std::size_t kMinReadRate = 1 << 10;
constexpr double kBytesPerMb = 1 << 20;

// Value of the Retry-After header, in seconds. aWhole rounds up, as HTTP
// requires; otherwise three decimals, for callers that accept fractions.
std::string
RetryAfterSeconds(Millis aTime, bool aWhole)
{
  constexpr double kMillisPerSecond = 1000.0;
  if (aWhole) {
    return std::to_string(
      std::chrono::ceil<std::chrono::seconds>(aTime).count());
  }
  return Poco::NumberFormatter::format(
    static_cast<double>(aTime.count()) / kMillisPerSecond, 3);
}

// Most rejected requests did not reach the handler.
Outcome
OutcomeOf(ListenerRejection aRejection)
{
  return aRejection == ListenerRejection::kAnswerNoMemory ||
             aRejection == ListenerRejection::kHandlerFailed
           ? Outcome::kUnknown
           : Outcome::kNotRun;
}

} // namespace

EntryServer::EntryServer(const Settings& aSettings,
                         SnapshotSource aSnapshot,
                         AttemptDependencies aDependencies,
                         std::shared_ptr<BodyBudget> aBodyBudget)
  : mSettings(aSettings)
  , mSnapshot(std::move(aSnapshot))
  , mNames(EdgeHeadersOf(aSettings))
  , mDependencies(aDependencies)
  , mFilters({ VersionFilter(),
               RouteFilter(),
               WorkspaceFilter(),
               RequestOptionsFilter(),
               LateRequestFilter(aDependencies.mShutdownDeadline),
               LimitFilter(aDependencies.mGate, aDependencies.mMetrics),
               TokenFilter(aDependencies),
               AttemptFilter(aDependencies) })
  , mBodyBudget(std::move(aBodyBudget))
{
}

tl::expected<std::unique_ptr<EntryServer>, std::string>
EntryServer::Make(const Settings& aSettings,
                  SnapshotSource aSnapshot,
                  AttemptDependencies aDependencies,
                  std::shared_ptr<BodyBudget> aBodyBudget)
{
  std::unique_ptr<EntryServer> server(new EntryServer(
    aSettings, std::move(aSnapshot), aDependencies, std::move(aBodyBudget)));
  auto listener = HttpListener::Make(
    server->ListenerOptions(),
    [raw = server.get()](HttpCall& aCall) { return raw->Serve(aCall); });
  if (!listener) {
    return tl::make_unexpected(listener.error());
  }
  server->mListener = std::move(*listener);
  return server;
}

HttpListenerOptions
EntryServer::ListenerOptions() const
{
  const auto& callers = mSettings.mCallers;
  const auto unsentBytes =
    static_cast<std::size_t>(mSettings.mResources.mUnsentMb * kBytesPerMb);
  return {
    .mAddress = callers.mAddress,
    .mWorkers = callers.mThreads,
    .mConnections = callers.mConnections,
    .mLimits = { .mMaxHeaders = static_cast<std::size_t>(callers.mMaxHeaders),
                 .mMaxHeaderBytes =
                   static_cast<std::size_t>(callers.mMaxHeaderBytes),
                 // Until a configuration is known; the request is then
                 // rejected for want of one, and not for its size.
                 .mMaxBodyBytes = kMaxBodyBytes },
    .mIdleClose = kCallerKeepAlive,
    .mMinReadRate = unsentBytes > 0 ? kMinReadRate : 0,
    .mUnsentBudget = unsentBytes,
    .mBodyBudget = mBodyBudget,
    .mMakeRejection =
      [this](ListenerRejection aRejection, std::optional<Millis> aRetryAfter) {
        return Reject(aRejection, aRetryAfter);
      },
    .mOnSlowReader =
      [this](SlowReader aReader) {
        mDependencies.mMetrics.SlowReaders().Increment();
        LogLine(LogLevel::kInfo, "slow_reader_closed")
          .With("reason", ToText(aReader));
      },
    .mOnException = LogException
  };
}

// The answer to a request that the listener rejects.
HttpReply
EntryServer::Reject(ListenerRejection aRejection,
                    std::optional<Millis> aRetryAfter) const
{
  if (aRejection == ListenerRejection::kUnsentFull) {
    mDependencies.mMetrics.UnsentRejections().Increment();
    mDependencies.mMetrics.CountRequest(Outcome::kNotRun);
    LogLine(LogLevel::kWarning, "unsent_full")
      .With("retry_after_ms", aRetryAfter.value_or(Millis(0)).count());
  } else if (aRejection == ListenerRejection::kNoMemory) {
    mDependencies.mMetrics.MemoryRejections().Increment();
    mDependencies.mMetrics.CountRequest(Outcome::kNotRun);
    LogLine(LogLevel::kWarning, "no_memory")
      .With("reserved", static_cast<std::int64_t>(mBodyBudget->Reserved()))
      .With("waiting", static_cast<std::int64_t>(mBodyBudget->Waiting()));
  } else if (aRejection == ListenerRejection::kAnswerNoMemory) {
    mDependencies.mMetrics.MemoryRejections().Increment();
    LogLine(LogLevel::kWarning, "answer_no_memory");
  } else {
    LogLine(LogLevel::kInfo, "request_unreadable")
      .With("reason", ToText(aRejection));
  }
  auto answer = MakeProxyAnswer(
    StatusOf(aRejection), OutcomeOf(aRejection), ToText(aRejection));
  answer.mCloseConnection = true;
  answer.mRetryAfter = aRetryAfter;
  return ToReply(std::move(answer), "");
}

void
EntryServer::SetLimits(const std::optional<LimitsSpec>& aLimits)
{
  const HttpListenerOptions defaults;
  const auto limits = aLimits.value_or(
    LimitsSpec{ .mMaxHeaderBytes = mSettings.mCallers.mMaxHeaderBytes,
                .mMaxBodyBytes = mSettings.mCallers.mMaxBodyBytes,
                .mHeaderTimeout = defaults.mReadTimeout,
                .mIdleTimeout = kCallerKeepAlive });
  mListener->SetLimits(
    { .mMaxHeaders = static_cast<std::size_t>(mSettings.mCallers.mMaxHeaders),
      .mMaxHeaderBytes = static_cast<std::size_t>(limits.mMaxHeaderBytes),
      .mMaxBodyBytes = static_cast<std::size_t>(limits.mMaxBodyBytes) },
    limits.mHeaderTimeout,
    limits.mIdleTimeout);
}

RequestContext
EntryServer::MakeContext(HttpCall& aCall) const
{
  RequestContext context{ .mSettings = mSettings,
                          .mNames = mNames,
                          .mSnapshot = mSnapshot(),
                          .mArrival = aCall.mArrival,
                          .mHttp = std::move(aCall.mHttp),
                          .mCancelled = aCall.mCancelled };
  if (!mNames.mRequestId.empty()) {
    context.mRequestId = HeaderValue(context.mHttp.mHeaders, mNames.mRequestId);
  }
  return context;
}

HttpReply
EntryServer::Serve(HttpCall& aCall)
{
  auto context = MakeContext(aCall);
  auto answer = ApplyFilters(mFilters, context);
  if (context.mCountedAgainstLimit && answer.mOutcome == Outcome::kNotRun) {
    mDependencies.mGate.Refund(context.mWorkspace->mName);
  }
  mDependencies.mMetrics.CountRequest(answer.mOutcome);
  if (answer.mOutcome == Outcome::kRun) {
    const auto added = Now() - context.mArrival - context.mHomeTime;
    mDependencies.mMetrics.AddedLatency().Observe(
      std::chrono::duration<double>(added).count());
  }
  LogAnswer(context, answer);
  return ToReply(std::move(answer), context.mRequestId);
}

// Logs each error answer, so that complaints of callers can be traced.
// Successes are not logged.
void
EntryServer::LogAnswer(const RequestContext& aContext,
                       const CallerAnswer& aAnswer) const
{
  constexpr int kFirstErrorStatus = 400;
  // LimitFilter logs its rejections itself.
  if (aAnswer.mStatus < kFirstErrorStatus ||
      aAnswer.mReason == kOverLimitReason) {
    return;
  }
  const auto elapsed =
    std::chrono::duration_cast<Millis>(Now() - aContext.mArrival);
  const auto allowed =
    std::chrono::duration_cast<Millis>(aContext.mDeadline - aContext.mArrival);
  LogLine(LogLevel::kInfo, "request_failed")
    .With("request", aContext.mRequestId)
    .With("route", aContext.mRoute == nullptr ? "" : aContext.mRoute->mName)
    .With("digest", aContext.mDigest.Empty() ? "" : aContext.mDigest.ToString())
    .With("workspace",
          aContext.mWorkspace ? aContext.mWorkspace->mName.Value() : "")
    .With("status", aAnswer.mStatus)
    .With("outcome", std::string(ToText(aAnswer.mOutcome)))
    .With("reason", aAnswer.mReason)
    .With("held_ms", elapsed.count())
    .With("given_ms", allowed.count())
    .With("caller_gone", aContext.mCancelled->IsCancelled() ? "yes" : "no")
    .With("revision",
          static_cast<std::int64_t>(
            aContext.mSnapshot ? aContext.mSnapshot->mRevision : 0));
}

HttpReply
EntryServer::ToReply(CallerAnswer aAnswer, const std::string& aRequestId) const
{
  HttpReply reply{ .mClose = aAnswer.mCloseConnection };
  reply.mAnswer = { .mStatus = aAnswer.mStatus,
                    .mHeaders = std::move(aAnswer.mHeaders),
                    .mBody = std::move(aAnswer.mBody) };
  auto& headers = reply.mAnswer.mHeaders;
  if (!aRequestId.empty() && HeaderValue(headers, mNames.mRequestId).empty()) {
    headers.push_back({ mNames.mRequestId, aRequestId });
  }
  if (aAnswer.mRetryAfter) {
    headers.push_back(
      { "Retry-After",
        RetryAfterSeconds(*aAnswer.mRetryAfter, mNames.mReportOutcome) });
  }
  if (!mNames.mReportOutcome) {
    return reply;
  }
  headers.push_back({ hop::kOutcome, std::string(ToText(aAnswer.mOutcome)) });
  if (!aAnswer.mReason.empty()) {
    headers.push_back({ hop::kReason, aAnswer.mReason });
  }
  if (aAnswer.mRetryAfter) {
    headers.push_back(
      { hop::kRetryAfterMs, std::to_string(aAnswer.mRetryAfter->count()) });
  }
  if (!aAnswer.mToken.empty()) {
    headers.push_back({ hop::kToken, aAnswer.mToken });
  }
  return reply;
}

void
EntryServer::Stop()
{
  mListener->StopGracefully();
}

} // namespace porttiller
