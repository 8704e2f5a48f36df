// The thread and the sockets of a PeerTransport.
#pragma once

#include "LinkSilenceDetectorPriv.h"
#include "porttiller/peer/PeerTransport.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <zmq.hpp>

namespace porttiller {

inline constexpr std::int64_t kMaxMessageBytes = 8 << 20; // decompressed, too

// Posted to the loop by other threads: a request, a one-way message or a reply
// to send.
struct PeerCommand
{
  std::string mAddress; // for a request or one-way message
  std::string mRoute;   // for a reply: the connection to send it over
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  std::string mPayload;
  std::uint64_t mCorrelation = 0; // zero: no reply is expected
  TimePoint mDeadline;
  PeerCallback mCallback;                 // null if no reply is expected
  std::optional<wire::Envelope> mMessage; // set for a one-way message
};

// An outgoing connection of PeerLoop::mOutgoing.
struct PeerLink
{
  std::string mRoute; // its routing ID in that socket; never reused
  TimePoint mLastUse;
};

// A request that waits for a reply.
struct PeerPending
{
  PeerCallback mCallback;
  std::string mAddress;
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  TimePoint mSent;
  std::string mRoute;   // of the link that it was sent over
  std::string mPayload; // encoded, to send again over a new link
};

// Owned by its PeerTransport. Only its own thread touches the sockets; what
// other threads post goes through a queue under mMutex.
class PeerLoop
{
public:
  PeerLoop(PeerTransportOptions aOptions, PeerHandler aHandler);
  ~PeerLoop();
  PeerLoop(const PeerLoop&) = delete;
  PeerLoop& operator=(const PeerLoop&) = delete;

  tl::expected<void, PeerError> Bind();
  void Start();
  // False once the transport is stopping; aCommand is then untouched.
  bool Post(PeerCommand& aCommand);
  void PostRequest(const std::string& aAddress,
                   wire::Envelope aRequest,
                   Millis aTimeout,
                   PeerCallback aCallback);
  // Sends a one-way message.
  void PostMessage(const std::string& aAddress, wire::Envelope aMessage);
  PeerTraffic Traffic() const;

private:
  using Links = std::unordered_map<std::string, PeerLink>;

  // More than every field number of Envelope's bodies.
  static constexpr std::size_t kBodyKinds = 32;

  // Adds this box's name and incarnation; leaves the receiver unset.
  PeerCommand MakeCommand(wire::Envelope aEnvelope,
                          std::uint64_t aCorrelation) const;
  void Run();
  Millis PollTimeout() const;
  void PollOnce();
  void ProcessCommands();
  void SendRequest(PeerCommand aCommand);
  // Asks for a reply if the link has to be checked.
  void SendMessage(PeerCommand aCommand);
  void SendOver(zmq::socket_t& aSocket,
                const std::string& aRoute,
                const PeerCommand& aCommand);
  void CountSent(const PeerCommand& aCommand);
  void ReceiveRequests();
  void ReceiveReplies();
  void ExpireRequests();
  void CloseIdle();
  // Replaces silent links and sends their waiting requests again.
  void ReplaceSilent();
  std::size_t ResendTo(const std::string& aAddress);
  Links::iterator Close(Links::iterator aLink);
  void ReportUnanswered(const PeerPending& aPending);
  PeerLink* LinkTo(const std::string& aAddress);
  void FailAll();

  PeerTransportOptions mOptions;
  PeerHandler mHandler;
  zmq::context_t mContext;
  zmq::socket_t mIncoming; // receives requests and sends replies
  // Sends requests and receives replies. One socket serves all peers: with a
  // socket per peer, polling them all in each iteration takes a quarter of the
  // CPU time of a loaded box in a fleet of 353.
  zmq::socket_t mOutgoing;
  zmq::socket_t mWakeReceiver;
  zmq::socket_t mWakeSender; // under mMutex
  Links mLinks;              // by address
  std::uint64_t mNextRoute = 1;
  TimePoint mNextIdleCheck;
  std::unordered_map<std::uint64_t, PeerPending> mPending;
  std::multimap<TimePoint, std::uint64_t> mDeadlines;
  std::unordered_map<std::string, std::string> mAddressByRoute;
  LinkSilenceDetector mSilenceDetector;
  std::mutex mMutex;
  std::deque<PeerCommand> mCommands;
  bool mStopping = false;
  std::uint64_t mNextCorrelation = 1;
  std::atomic<std::uint64_t> mSent{ 0 };
  std::array<std::atomic<std::uint64_t>, kBodyKinds> mSentByKind{};
  std::atomic<std::uint64_t> mReceived{ 0 };
  std::atomic<std::uint64_t> mUnreadable{ 0 };
  std::atomic<std::uint64_t> mLateReplies{ 0 };
  std::atomic<std::uint64_t> mUnanswered{ 0 };
  std::atomic<std::uint64_t> mReplaced{ 0 };
  std::atomic<std::uint64_t> mLinkCount{ 0 };
  std::atomic<std::size_t> mPendingCount{ 0 };
  std::thread mThread;
};

} // namespace porttiller
