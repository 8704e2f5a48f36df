// Transport of control messages between daemons over ZeroMQ: requests with one
// reply each, and one-way messages. Queues are bounded; a link (a connection to
// one peer) is closed when idle.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <porttiller.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

class PeerLoop;

enum class PeerErrorKind
{
  kTimeout, // no reply in time; the peer may have handled the request
  kBusy,    // too many requests wait for replies; this one is not sent
  kClosed,  // the transport is stopping
  kAddress, // the peer's address cannot be connected to; nothing is sent
  kBind     // the address is in use or does not belong to this machine
};

struct PeerError
{
  PeerErrorKind mKind = PeerErrorKind::kTimeout;
  std::string mDetail;
};

// The group of control messages that aKind belongs to, as a metric label.
const char*
ToText(wire::Envelope::BodyCase aKind);

// A request whose time-out passed without a reply.
struct UnansweredRequest
{
  std::string mAddress;
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  Millis mWaited{ 0 }; // since it was last sent
  // Time since the last reply over the request's link; null if that link has
  // carried none.
  std::optional<Millis> mSinceLinkReply;
};

// A link that delivered no replies and was replaced by a new connection.
struct ReplacedLink
{
  std::string mAddress;
  Millis mSilent{ 0 };     // since its oldest request without a reply
  std::size_t mResent = 0; // requests sent again over the new one
};

struct PeerTransportOptions
{
  std::string mBindAddress; // "ip:port"
  BoxName mBox;
  Incarnation mIncarnation;
  Millis mIdleClose{ 30'000 };    // a link unused for this long is closed
  std::size_t mMaxPending = 4096; // requests that wait for a reply
  // Both are called on the transport's thread and must not block.
  std::function<void(const UnansweredRequest&)> mOnUnanswered;
  std::function<void(const ReplacedLink&)> mOnReplaced;
};

struct PeerTraffic
{
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  std::uint64_t mLateReplies = 0; // dropped: their requests had timed out
  std::uint64_t mUnreadable = 0;  // messages that could not be decoded
  std::uint64_t mUnanswered = 0;  // requests whose time-out passed
  std::uint64_t mLinks = 0;       // open now
  std::uint64_t mReplacedLinks = 0;
  std::map<wire::Envelope::BodyCase, std::uint64_t> mSentByKind; // bytes
};

using PeerResult = tl::expected<wire::Envelope, PeerError>;
using PeerCallback = std::function<void(PeerResult)>;
// Sends the reply to one request; may be called later, from any thread. Does
// nothing for a one-way message.
using PeerReplier = std::function<void(wire::Envelope)>;
using PeerHandler = std::function<void(const wire::Envelope&, PeerReplier)>;

// Owns one thread and all sockets. Handlers and callbacks run on that thread
// and must not block. Every public function may be called from any thread.
class PeerTransport
{
public:
  static tl::expected<std::unique_ptr<PeerTransport>, PeerError> Make(
    PeerTransportOptions aOptions,
    PeerHandler aHandler);

  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // aCallback is called exactly once. A request may reach its receiver after
  // its time-out, so receivers must expect late requests. It may also arrive
  // twice: a request that waits on a silent link is sent again over a new one.
  // Usage reports of workspaces are sent once, as their receiver adds them up.
  void Send(const std::string& aAddress,
            wire::Envelope aRequest,
            Millis aTimeout,
            PeerCallback aCallback);

  // Sends a one-way message, which may get lost. A box record or a probe is
  // sent as a request, to check the link, if the link has carried replies but
  // none for a second.
  void SendOneWay(const std::string& aAddress, wire::Envelope aMessage);

  // Like Send, but blocks until the reply or the error. Must not be called on
  // the transport's own thread, where it would deadlock.
  PeerResult Call(const std::string& aAddress,
                  wire::Envelope aRequest,
                  Millis aTimeout);

  PeerTraffic Traffic() const;

private:
  explicit PeerTransport(std::unique_ptr<PeerLoop> aLoop);

  std::unique_ptr<PeerLoop> mLoop;
};

} // namespace porttiller
