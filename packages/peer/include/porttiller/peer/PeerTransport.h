// Control messages between daemons: requests with one reply each, over
// ZeroMQ, with bounded queues and links that close when idle.
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
  kTimeout, // no reply in time; the request may have arrived
  kBusy,    // too many requests are waiting; not sent
  kClosed,  // the transport is stopping
  kBind     // the address is taken or not ours
};

struct PeerError
{
  PeerErrorKind mKind = PeerErrorKind::kTimeout;
  std::string mDetail;
};

// Of a kind of message, as metrics name it.
const char*
ToText(wire::Envelope::BodyCase aKind);

// A request that got no reply in time.
struct UnansweredRequest
{
  std::string mAddress;
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  Millis mWaited{ 0 };
  // Since anything came over the link that it was sent on; null when nothing
  // ever has.
  std::optional<Millis> mLinkHeard;
};

// A link that was silent and was made anew.
struct ReplacedLink
{
  std::string mAddress;
  Millis mSilent{ 0 };     // since a request was sent over it
  std::size_t mResent = 0; // requests that go over the new one
};

struct PeerTransportOptions
{
  std::string mBindAddress; // "ip:port"
  BoxName mBox;
  Incarnation mIncarnation;
  Millis mIdleClose{ 30'000 };
  std::size_t mMaxPending = 4096; // requests without a reply yet
  // Both are called on the transport's thread and must not block.
  std::function<void(const UnansweredRequest&)> mOnUnanswered;
  std::function<void(const ReplacedLink&)> mOnReplaced;
};

struct PeerTraffic
{
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  std::uint64_t mLateReplies = 0; // dropped: nobody waits for them any more
  std::uint64_t mUnreadable = 0;  // messages that were no envelopes
  std::uint64_t mUnanswered = 0;  // requests whose time-out passed
  std::uint64_t mLinks = 0;
  std::uint64_t mReplacedLinks = 0;
  std::map<wire::Envelope::BodyCase, std::uint64_t> mSentByKind; // bytes
};

using PeerResult = tl::expected<wire::Envelope, PeerError>;
using PeerCallback = std::function<void(PeerResult)>;
// Sends the reply to one request; may be called later, from any thread. Does
// nothing for a message that needs none.
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
  // its time-out; receivers treat every request as one that may be late. It may
  // reach it twice: one that is not answered over a silent link is sent again
  // over a new one, except for reports of workspaces' use, which add up.
  void Send(const std::string& aAddress,
            wire::Envelope aRequest,
            Millis aTimeout,
            PeerCallback aCallback);

  // Sends what needs no reply; it may get lost. The link of a box record or a
  // probe is checked if nothing has come over it for a second.
  void Tell(const std::string& aAddress, wire::Envelope aMessage);

  // As Send, but waits. Never call it on the transport's own thread.
  PeerResult Call(const std::string& aAddress,
                  wire::Envelope aRequest,
                  Millis aTimeout);

  PeerTraffic Traffic() const;

private:
  explicit PeerTransport(std::unique_ptr<PeerLoop> aLoop);

  std::unique_ptr<PeerLoop> mLoop;
};

} // namespace porttiller
