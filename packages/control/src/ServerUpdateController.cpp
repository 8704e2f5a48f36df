#include "porttiller/control/ServerUpdateController.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

// Maximum delay until an unresponsive server is noticed; a check sums up at
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
    if (const auto news = server->TakeStateUpdate(Now())) {
      Notify(*news);
    }
  }
}

void
ServerUpdateController::Notify(const ServerStateUpdate& aNews)
{
  const auto snapshot = mSnapshot();
  if (!snapshot) {
    return;
  }
  wire::Envelope message;
  auto* body = message.mutable_server_news();
  body->set_server(aNews.mServer.Id().Value());
  if (aNews.mServer.StartMs()) {
    body->set_start_ms(*aNews.mServer.StartMs());
  }
  body->set_service(aNews.mService.Value());
  body->set_demoted(aNews.mDemoted);
  body->set_retry_after_ms(
    static_cast<std::uint32_t>(aNews.mRetryAfter.count()));
  for (const auto& receiver : aNews.mReceivers) {
    const auto* box = snapshot->FindBox(receiver);
    if (box == nullptr) {
      continue;
    }
    if (receiver == mSettings.mBox) {
      mView.OnServerUpdate(aNews, Now());
      continue;
    }
    // A box that misses the message learns the state when it next sends a
    // request to the home.
    mTransport.SendOneWay(box->mControlAddress, message);
  }
  LogLine(LogLevel::kInfo, "server_news")
    .With("server", aNews.mServer.ToString())
    .With("state", aNews.mDemoted ? "demoted" : "open")
    .With("told", static_cast<std::int64_t>(aNews.mReceivers.size()));
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
