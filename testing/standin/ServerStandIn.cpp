#include "standin/ServerStandIn.h"

#include "porttiller/config/JsonText.h"

#include <algorithm>
#include <thread>

namespace porttiller::standin {

namespace {

constexpr int kColdFactor = 10;
constexpr int kPercent = 100;

} // namespace

std::string
EchoOf(const std::string& aServer,
       const std::string& aId,
       const std::string& aBody)
{
  return aServer + "|" + aId + "|" + aBody;
}

ServerStandIn::ServerStandIn(std::string aName, const std::string& aAddress)
  : mName(std::move(aName))
  , mSince(Now())
{
  mServer = std::make_unique<HttpStandIn>(
    aAddress,
    [this](auto& aRequest, auto& aResponse) { Handle(aRequest, aResponse); });
}

void
ServerStandIn::Set(const ServerBehaviour& aBehaviour)
{
  const std::lock_guard lock(mMutex);
  mBehaviour = aBehaviour;
  mSince = Now();
}

void
ServerStandIn::SetOnArrival(
  std::function<void(const std::string& aId)> aListener)
{
  const std::lock_guard lock(mMutex);
  mOnArrival = std::move(aListener);
}

std::uint64_t
ServerStandIn::CountArrival(const std::string& aId)
{
  const std::lock_guard lock(mMutex);
  if (mOnArrival) {
    mOnArrival(aId);
  }
  return ++mArrivals;
}

int
ServerStandIn::RunsOf(const std::string& aId) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mRuns.find(aId);
  return it == mRuns.end() ? 0 : it->second;
}

int
ServerStandIn::MaxRuns() const
{
  const std::lock_guard lock(mMutex);
  int most = 0;
  for (const auto& [id, runs] : mRuns) {
    most = std::max(most, runs);
  }
  return most;
}

void
ServerStandIn::CountRun(const std::string& aId)
{
  ++mTotalRuns;
  if (aId.empty()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  ++mRuns[aId];
}

ServerBehaviour
ServerStandIn::CurrentBehaviour(TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  auto behaviour = mBehaviour;
  const auto age = std::chrono::duration_cast<Millis>(aNow - mSince).count();
  if (behaviour.mFlapMs > 0 && (age / behaviour.mFlapMs) % 2 == 1) {
    behaviour.mFailPercent = 0;
  }
  if (age < behaviour.mColdMs) {
    behaviour.mServiceMs *= kColdFactor;
  }
  return behaviour;
}

void
ServerStandIn::Handle(Poco::Net::HTTPServerRequest& aRequest,
                      Poco::Net::HTTPServerResponse& aResponse)
{
  if (aRequest.getURI().starts_with("/control")) {
    Control(aRequest, aResponse);
    return;
  }
  if (aRequest.getURI() == "/health") {
    SendText(aResponse, 200, R"({"healthy":true})"); // also while it fails
    return;
  }
  if (aRequest.getURI() == "/load") {
    SendText(
      aResponse, 200, "{\"in_flight\":" + std::to_string(mInFlight) + "}");
    return;
  }
  ++mInFlight;
  Run(aRequest, aResponse);
  --mInFlight;
}

void
ServerStandIn::Run(Poco::Net::HTTPServerRequest& aRequest,
                   Poco::Net::HTTPServerResponse& aResponse)
{
  const auto behaviour = CurrentBehaviour(Now());
  const auto id = aRequest.get("X-Request-Id", "");
  const auto body = ReadBody(aRequest);
  const auto arrival = CountArrival(id);
  if (!behaviour.mLimit.empty()) {
    aResponse.set("Porttiller-Server-Limit", behaviour.mLimit);
  }
  if (behaviour.mLeaving) {
    aResponse.set("Porttiller-Server-Leaving", "1");
  }
  if (static_cast<int>(arrival % kPercent) < behaviour.mRejectPercent) {
    aResponse.set("Porttiller-Outcome", "not-run");
    SendText(aResponse, 503, "busy");
    return;
  }
  if (behaviour.mDraining) {
    aResponse.set("Porttiller-Outcome", "not-run");
    aResponse.set("Porttiller-Reason", "leaving");
    SendText(aResponse, 503, "draining");
    return;
  }
  CountRun(id);
  if (behaviour.mServiceMs > 0) {
    std::this_thread::sleep_for(Millis(behaviour.mServiceMs));
  }
  const auto turn = static_cast<int>(mTotalRuns % kPercent);
  const bool hit = behaviour.mFailPrefix.empty() ||
                   aRequest.getURI().starts_with(behaviour.mFailPrefix);
  if (hit && turn < behaviour.mFailPercent) {
    SendText(aResponse, 500, "failed");
    return;
  }
  if (behaviour.mCloseEvery > 0 && turn % behaviour.mCloseEvery == 0) {
    CloseConnection(aRequest);
    return;
  }
  const auto echo = EchoOf(mName, id, body);
  if (turn < behaviour.mHalfPercent) {
    aResponse.setContentLength64(static_cast<std::int64_t>(echo.size()));
    aResponse.send() << echo.substr(0, echo.size() / 2) << std::flush;
    CloseConnection(aRequest);
    return;
  }
  aResponse.set("X-Request-Id", id);
  aResponse.set("X-Deadline-Seen", aRequest.get("Porttiller-Deadline-Ms", ""));
  SendText(aResponse, 200, echo);
}

void
ServerStandIn::Control(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse)
{
  const auto body = ReadBody(aRequest);
  if (const auto json = ParseJsonObject(body)) {
    const auto& fields = **json;
    Set({ .mServiceMs = fields.optValue("service_ms", 0),
          .mFailPercent = fields.optValue("fail_percent", 0),
          .mFailPrefix = fields.optValue<std::string>("fail_prefix", ""),
          .mHalfPercent = fields.optValue("half_percent", 0),
          .mCloseEvery = fields.optValue("close_every", 0),
          .mFlapMs = fields.optValue("flap_ms", 0),
          .mColdMs = fields.optValue("cold_ms", 0),
          .mDraining = fields.optValue("draining", false),
          .mLimit = fields.optValue<std::string>("limit", ""),
          .mLeaving = fields.optValue("leaving", false),
          .mRejectPercent = fields.optValue("reject_percent", 0) });
  }
  SendText(aResponse,
           200,
           "{\"runs\":" + std::to_string(mTotalRuns) +
             ",\"most_runs_of_one_id\":" + std::to_string(MaxRuns()) + "}");
}

} // namespace porttiller::standin
