#include "porttiller/peer/PeerTransport.h"

#include "PeerLoopPriv.h"

#include <future>

namespace porttiller {

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
PeerTransport::Tell(const std::string& aAddress, wire::Envelope aMessage)
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
