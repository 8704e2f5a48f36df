#include "porttiller/peer/PeerTransport.h"

#include "PeerLoopPriv.h"

#include <future>

namespace porttiller {

const char*
ToText(wire::Envelope::BodyCase aKind)
{
  using Body = wire::Envelope;
  switch (aKind) {
    case Body::kProbe:
    case Body::kProbeReply:
    case Body::kIndirectProbe:
      return "membership";
    case Body::kAttempt:
    case Body::kAttemptReply:
      return "attempt";
    case Body::kDeltaRequest:
    case Body::kDelta:
    case Body::kAnnounce:
      return "configuration";
    case Body::kHealth:
    case Body::kHealthReply:
      return "health";
    case Body::kBoxRecords:
    case Body::kDirectoryRequest:
    case Body::kDirectoryExchange:
      return "directory";
    case Body::kServerNews:
      return "server-news";
    case Body::kWorkspaceReport:
    case Body::kWorkspaceGrants:
      return "workspaces";
    case Body::kCrashReport:
    case Body::kCrashRequest:
      return "crashes";
    case Body::kAck:
    case Body::BODY_NOT_SET:
      break;
  }
  return "other";
}

tl::expected<std::unique_ptr<PeerTransport>, PeerError>
PeerTransport::Make(PeerTransportOptions aOptions, PeerHandler aHandler)
{
  auto loop =
    std::make_unique<PeerLoop>(std::move(aOptions), std::move(aHandler));
  if (auto bound = loop->Bind(); !bound) {
    return tl::make_unexpected(bound.error());
  }
  loop->Start();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(loop)));
}

PeerTransport::PeerTransport(std::unique_ptr<PeerLoop> aLoop)
  : mLoop(std::move(aLoop))
{
}

PeerTransport::~PeerTransport() = default;

void
PeerTransport::Send(const std::string& aAddress,
                    wire::Envelope aRequest,
                    Millis aTimeout,
                    PeerCallback aCallback)
{
  mLoop->PostRequest(
    aAddress, std::move(aRequest), aTimeout, std::move(aCallback));
}

void
PeerTransport::SendOneWay(const std::string& aAddress, wire::Envelope aMessage)
{
  mLoop->PostMessage(aAddress, std::move(aMessage));
}

PeerResult
PeerTransport::Call(const std::string& aAddress,
                    wire::Envelope aRequest,
                    Millis aTimeout)
{
  auto promise = std::make_shared<std::promise<PeerResult>>();
  auto result = promise->get_future();
  Send(aAddress, std::move(aRequest), aTimeout, [promise](PeerResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return result.get();
}

PeerTraffic
PeerTransport::Traffic() const
{
  return mLoop->Traffic();
}

} // namespace porttiller
