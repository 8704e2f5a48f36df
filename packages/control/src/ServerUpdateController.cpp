#include "porttiller/control/ServerUpdateController.h"

#include "porttiller/policy/TurnInterval.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

// Maximum delay until an unresponsive server is detected; a check sums up at
// most 16 requests.
constexpr Millis kTick{ 100 };
constexpr double kPermille = 1000.0; // unit of limits

} // namespace

ServerUpdateController::ServerUpdateController(
  const Settings& aSettings,
  Home& aHome,
  EntryView& aView,
  PeerTransport& aTransport,
  std::function<SnapshotPtr()> aSnapshot,
  ServerLeavingListener aOnServerLeaving)
  : mSettings(aSettings)
  , mHome(aHome)
  , mView(aView)
  , mTransport(aTransport)
  , mSnapshot(std::move(aSnapshot))
  , mOnServerLeaving(std::move(aOnServerLeaving))
{
}

void
ServerUpdateController::Start()
{
  mTicker = std::make_unique<Ticker>(kTick, [this] { Tick(); });
}

void
ServerUpdateController::Stop()
{
  mTicker.reset();
}

void
ServerUpdateController::Tick()
{
  for (const auto& server : mHome.Servers()) {
    server->RecheckLeaving();
    if (const auto update = server->TakeStateUpdate(Now())) {
      Notify(*update);
    }
  }
}

void
ServerUpdateController::Notify(const ServerStateUpdate& aUpdate)
{
  if (aUpdate.mDemand.mLeaving) {
    mOnServerLeaving(aUpdate.mServer);
  }
  const auto snapshot = mSnapshot();
  if (!snapshot) {
    return;
  }
  wire::Envelope message;
  auto* body = message.mutable_server_news();
  body->set_server(aUpdate.mServer.Id().Value());
  if (aUpdate.mServer.StartMs()) {
    body->set_start_ms(*aUpdate.mServer.StartMs());
  }
  body->set_service(aUpdate.mService.Value());
  body->set_demoted(aUpdate.mDemoted);
  body->set_retry_after_ms(
    static_cast<std::uint32_t>(aUpdate.mRetryAfter.count()));
  if (const auto& limit = aUpdate.mDemand.mLimit) {
    body->set_limit_millis(
      static_cast<std::uint64_t>(std::llround(limit->mRate * kPermille)));
    body->set_interval_ms(static_cast<std::uint32_t>(limit->mInterval.count()));
  }
  body->set_leaving(aUpdate.mDemand.mLeaving);
  body->set_leaving_ended(aUpdate.mLeavingEnded);
  for (const auto& receiver : aUpdate.mReceivers) {
    const auto* box = snapshot->FindBox(receiver);
    if (box == nullptr) {
      continue;
    }
    if (receiver == mSettings.mBox) {
      mView.OnServerUpdate(aUpdate, Now());
      continue;
    }
    // A box that misses the message learns the state when it next sends a
    // request to the home.
    mTransport.SendOneWay(box->mControlAddress, message);
  }
  LogLine(LogLevel::kInfo, "server_news")
    .With("server", aUpdate.mServer.ToString())
    .With("state", aUpdate.mDemoted ? "demoted" : "open")
    .With("limit_millis", static_cast<std::int64_t>(body->limit_millis()))
    .With("leaving", aUpdate.mDemand.mLeaving ? "yes" : "no")
    .With("told", static_cast<std::int64_t>(aUpdate.mReceivers.size()));
}

void
ServerUpdateController::OnServerUpdate(const wire::ServerNews& aMessage)
{
  const auto start = aMessage.has_start_ms()
                       ? std::optional<std::int64_t>(aMessage.start_ms())
                       : std::nullopt;
  const ServerIncarnation server(BackendServerName(aMessage.server()), start);
  ServerDemand demand{ .mLeaving = aMessage.leaving() };
  if (aMessage.has_limit_millis()) {
    demand.mLimit = { .mRate = static_cast<double>(aMessage.limit_millis()) /
                               kPermille,
                      .mInterval = std::min<Millis>(
                        Millis(aMessage.interval_ms()), TurnInterval::kMax) };
  }
  mView.OnServerUpdate({ .mServer = server,
                         .mService = ServiceName(aMessage.service()),
                         .mDemoted = aMessage.demoted(),
                         .mRetryAfter = Millis(aMessage.retry_after_ms()),
                         .mDemand = demand,
                         .mLeavingEnded = aMessage.leaving_ended() },
                       Now());
}

} // namespace porttiller
