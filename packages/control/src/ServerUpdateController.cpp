#include "porttiller/control/ServerUpdateController.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

// Maximum delay until an unresponsive server is detected; a check sums up at
// most 16 requests.
constexpr Millis kTick{ 100 };

} // namespace

ServerUpdateController::ServerUpdateController(
  const Settings& aSettings,
  Home& aHome,
  EntryView& aView,
  PeerTransport& aTransport,
  std::function<SnapshotPtr()> aSnapshot)
  : mSettings(aSettings)
  , mHome(aHome)
  , mView(aView)
  , mTransport(aTransport)
  , mSnapshot(std::move(aSnapshot))
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
    if (const auto update = server->TakeStateUpdate(Now())) {
      Notify(*update);
    }
  }
}

void
ServerUpdateController::Notify(const ServerStateUpdate& aUpdate)
{
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
    .With("told", static_cast<std::int64_t>(aUpdate.mReceivers.size()));
}

void
ServerUpdateController::OnServerUpdate(const wire::ServerNews& aMessage)
{
  const auto start = aMessage.has_start_ms()
                       ? std::optional<std::int64_t>(aMessage.start_ms())
                       : std::nullopt;
  const ServerIncarnation server(BackendServerName(aMessage.server()), start);
  mView.OnServerUpdate({ .mServer = server,
                         .mService = ServiceName(aMessage.service()),
                         .mDemoted = aMessage.demoted(),
                         .mRetryAfter = Millis(aMessage.retry_after_ms()) },
                       Now());
}

} // namespace porttiller
