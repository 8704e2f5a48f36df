#include "standin/MeshServerStandIn.h"

#include <stdexcept>
#include <thread>

namespace porttiller::standin {

namespace {

constexpr std::size_t kMaxBodyBytes = 128 << 20;
constexpr std::size_t kMaxEchoBytes = 1 << 20;
constexpr std::string_view kBytesParameter = "bytes=";

constexpr Millis kRpcTimeout{ 3000 };
constexpr Millis kCancelPoll{ 10 };
constexpr Millis kTimeToCrash{ 80 };
constexpr const char* kHealthPath = "/health";

// False when the connection was closed before aTime had passed.
bool
RunFor(Millis aTime, const HttpCall& aCall)
{
  const auto end = Now() + aTime;
  while (Now() < end) {
    if (aCall.mCancelled->IsCancelled()) {
      return false;
    }
    std::this_thread::sleep_for(kCancelPoll);
  }
  return true;
}

} // namespace

MeshServerStandIn::MeshServerStandIn(MeshServerOptions aOptions)
  : mOptions(std::move(aOptions))
{
  auto listener =
    HttpListener::Make({ .mAddress = mOptions.mAddress,
                         .mWorkers = 64,
                         .mLimits = { .mMaxBodyBytes = kMaxBodyBytes } },
                       [this](HttpCall& aCall) { return Handle(aCall); });
  if (!listener) {
    throw std::runtime_error(listener.error());
  }
  mListener = std::move(*listener);
}

void
MeshServerStandIn::Set(const MeshServerFaults& aFaults)
{
  const std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

void
MeshServerStandIn::SetOnArrival(
  std::function<void(const std::string& aId)> aListener)
{
  const std::lock_guard lock(mMutex);
  mOnArrival = std::move(aListener);
}

int
MeshServerStandIn::RunsOf(const std::string& aRequestId) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunsById.find(aRequestId);
  return it == mRunsById.end() ? 0 : it->second;
}

std::string
MeshServerStandIn::LastCallerService() const
{
  const std::lock_guard lock(mMutex);
  return mCallerService;
}

std::string
MeshServerStandIn::WorkspaceOf(const std::string& aRequestId) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mWorkspaces.find(aRequestId);
  return it == mWorkspaces.end() ? "" : it->second;
}

std::string
MeshServerStandIn::SeenHeaders() const
{
  const std::lock_guard lock(mMutex);
  return mSeenHeaders;
}

HttpReply
MeshServerStandIn::AnswerHealthCheck()
{
  ++mHealthChecks;
  bool ready = !mSaidLeaving;
  {
    const std::lock_guard lock(mMutex);
    ready = mFaults.mAlwaysHealthy ||
            (ready && !mFaults.mLeaving && !mFaults.mRejectsHealthChecks);
  }
  return { .mAnswer = { .mStatus = ready ? 200 : 503,
                        .mHeaders = { { "Instance-Id", mOptions.mId } } } };
}

// As many bytes as the target asks for ("/safe/bytes=N"); otherwise the body of
// the request, or the size of a large one.
std::string
MeshServerStandIn::ContentFor(const HttpRequestData& aHttp)
{
  const auto at = aHttp.mTarget.find(kBytesParameter);
  if (at != std::string::npos) {
    const auto digits = aHttp.mTarget.substr(at + kBytesParameter.size());
    return std::string(std::stoul(digits), 'x');
  }
  const auto size = aHttp.mBody.Size();
  return size > kMaxEchoBytes ? std::to_string(size) + " bytes"
                              : aHttp.mBody.ToString();
}

HttpReply
MeshServerStandIn::Handle(HttpCall& aCall)
{
  if (aCall.mHttp.mTarget == kHealthPath) {
    return AnswerHealthCheck();
  }
  const auto& headers = aCall.mHttp.mHeaders;
  const auto id = HeaderValue(headers, "Request-Id");
  if (HeaderValue(headers, "Expected-Instance") != mOptions.mId) {
    return { .mAnswer = { .mStatus = 421,
                          .mHeaders = { { "Instance-Id", mOptions.mId } } } };
  }
  MeshServerFaults faults;
  {
    const std::lock_guard lock(mMutex);
    faults = mFaults;
    if (mOnArrival) {
      mOnArrival(id);
    }
    for (const auto& header : headers) {
      mSeenHeaders += header.mName + ": " + header.mValue + "\n";
    }
    if (!faults.mFull) {
      ++mRunsById[id];
      mCallerService = HeaderValue(headers, "Caller-Service");
      mWorkspaces[id] = HeaderValue(headers, "Tenant");
    }
  }
  HttpHeaders signals;
  if (!faults.mLimit.empty()) {
    signals.push_back({ "Server-Limit", faults.mLimit });
  }
  if (faults.mLeaving) {
    signals.push_back({ "Server-Leaving", "1" });
  }
  if (faults.mFull) {
    signals.push_back({ "Not-Executed", "1" });
    signals.push_back({ "Request-Id", id });
    return { .mAnswer = { .mStatus = 503, .mHeaders = signals } };
  }
  ++mRuns;
  const auto& target = aCall.mHttp.mTarget;
  const bool crashes = !mOptions.mCrashMarker.empty() &&
                       target.find(mOptions.mCrashMarker) != std::string::npos;
  if (crashes) {
    mOptions.mOnCrashArrival(target);
  }
  if (!RunFor(crashes ? kTimeToCrash : faults.mWork, aCall)) {
    ++mCancelled;
    if (crashes) {
      mOptions.mOnCrash(target); // the process ends all the same
    }
    return { .mClose = true };
  }
  if (crashes) {
    mOptions.mOnCrash(target);
    RunFor(kRpcTimeout, aCall); // until Stop ends the connection
    return { .mClose = true };
  }
  HttpReply reply{ .mAnswer = { .mStatus = 200,
                                .mHeaders = signals,
                                .mBody = mOptions.mId + "|" + id + "|" +
                                         ContentFor(aCall.mHttp) } };
  auto& answer = reply.mAnswer.mHeaders;
  answer.push_back({ "Request-Id", faults.mForeignId ? "another" : id });
  answer.push_back({ "Server-Load", "1,0,4" });
  if (!faults.mUnsigned) {
    answer.push_back({ "Response-Signature", "s." + id });
  }
  return reply;
}

bool
MeshServerStandIn::SendOneWay(const std::string& aCall,
                              const std::string& aBody)
{
  HttpPool pool({ .mAddress = mOptions.mRegistration });
  const auto deadline = Now() + kRpcTimeout;
  auto exchange = pool.Begin(
    { .mMethod = "POST",
      .mTarget = "/porttiller/rpc?call=" + aCall + "&of=" + mOptions.mId,
      .mHeaders = { { "Content-Type", "application/json" } },
      .mBody = aBody },
    deadline);
  if (!exchange) {
    return false;
  }
  const auto answer = (*exchange)->ReadAnswer(deadline);
  return answer && answer->mStatus / 100 == 2;
}

std::string
MeshServerStandIn::HeartbeatBody(const std::string& aState,
                                 std::uint64_t aSequence)
{
  return R"({"Service":")" + mOptions.mService + R"(","Address":")" +
         (mOptions.mAdvertised.empty() ? mOptions.mAddress
                                       : mOptions.mAdvertised) +
         R"(","Zone":"z","Version":"v1","Slots":)" +
         std::to_string(mOptions.mSlots) + R"(,"State":")" + aState +
         R"(","ColdRemainingMs":0,"CallSeq":)" + std::to_string(aSequence) +
         (mOptions.mStartMs ? "," + StartField() : "") + "}";
}

std::string
MeshServerStandIn::StartField() const
{
  return mOptions.mStartMs ? "\"born\":" + std::to_string(*mOptions.mStartMs)
                           : "";
}

bool
MeshServerStandIn::SendHeartbeat(const std::string& aState)
{
  mSaidLeaving = mSaidLeaving || aState != "ready";
  return SendOneWay("instances.heartbeat", HeartbeatBody(aState, ++mSequence));
}

bool
MeshServerStandIn::SendLateHeartbeat()
{
  return SendOneWay("instances.heartbeat", HeartbeatBody("ready", 1));
}

bool
MeshServerStandIn::Leave()
{
  mSaidLeaving = true;
  return SendOneWay("instances.leave",
                    mOptions.mStartMs ? "{" + StartField() + "}" : "");
}

} // namespace porttiller::standin
