// The thread and the sockets behind a PeerTransport.
#pragma once

#include "LinkSilencePriv.h"
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

inline constexpr std::int64_t kMaxMessageBytes = 8 << 20; // unpacked, too

// What other threads ask of the loop: a request or a message to send, or a
// reply.
struct PeerCommand
{
  std::string mAddress; // of a request or message
  std::string mRoute;   // of a reply
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  std::string mPayload;
  std::uint64_t mCorrelation = 0; // zero: no reply is waited for
  TimePoint mDeadline;
  PeerCallback mCallback;                 // null when no reply is waited for
  std::optional<wire::Envelope> mMessage; // one that needs no reply
};

// An outgoing connection of the one socket that makes them all.
struct PeerLink
{
  std::string mRoute; // names it within that socket; never used again
  TimePoint mLastUse;
};

// A request that waits for its reply.
struct PeerPending
{
  PeerCallback mCallback;
  std::string mAddress;
  wire::Envelope::BodyCase mKind = wire::Envelope::BODY_NOT_SET;
  TimePoint mSent;
  std::string mRoute; // of the link that it was sent over
  std::string mPayload;
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
  // Without a reply.
  void PostMessage(const std::string& aAddress, wire::Envelope aMessage);
  PeerTraffic Traffic() const;

private:
  using Links = std::unordered_map<std::string, PeerLink>;

  static constexpr std::size_t kKinds = 32; // field numbers of the bodies

  // Signed with this box's name and life; its receiver is not filled in.
  PeerCommand MakeCommand(wire::Envelope aEnvelope,
                          std::uint64_t aCorrelation) const;
  void Run();
  Millis PollWait() const;
  void PollOnce();
  void TakeCommands();
  void SendRequest(PeerCommand aCommand);
  // Asks for a reply where the link has to be checked.
  void SendMessage(PeerCommand aCommand);
  void SendOver(zmq::socket_t& aSocket,
                const std::string& aRoute,
                const PeerCommand& aCommand);
  void CountSent(const PeerCommand& aCommand);
  void ReceiveRequests();
  void ReceiveReplies();
  void Expire();
  void CloseIdle();
  // Makes silent links anew and sends what waits over the new ones.
  void ReplaceSilent();
  std::size_t ResendTo(const std::string& aAddress);
  Links::iterator Close(Links::iterator aLink);
  void NoteUnanswered(const PeerPending& aPending);
  PeerLink& LinkTo(const std::string& aAddress);
  void FailAll();

  PeerTransportOptions mOptions;
  PeerHandler mHandler;
  zmq::context_t mContext;
  zmq::socket_t mRouter; // takes requests and answers them
  // Sends requests and takes their answers. One socket a box had to be polled,
  // each at every turn of the loop: a quarter of the processor time of a loaded
  // box among 353, by sampled stacks.
  zmq::socket_t mCaller;
  zmq::socket_t mWake;
  zmq::socket_t mWaker; // under mMutex
  Links mLinks;         // by address
  std::uint64_t mNextLink = 1;
  TimePoint mNextIdleLook;
  std::unordered_map<std::uint64_t, PeerPending> mPending;
  std::multimap<TimePoint, std::uint64_t> mDeadlines;
  std::unordered_map<std::string, std::string> mAddresses; // by route
  LinkSilence mSilence;
  std::mutex mMutex;
  std::deque<PeerCommand> mCommands;
  bool mStopping = false;
  std::uint64_t mNextCorrelation = 1;
  std::atomic<std::uint64_t> mSent{ 0 };
  std::array<std::atomic<std::uint64_t>, kKinds> mSentByKind{};
  std::atomic<std::uint64_t> mReceived{ 0 };
  std::atomic<std::uint64_t> mUnreadable{ 0 };
  std::atomic<std::uint64_t> mLate{ 0 };
  std::atomic<std::uint64_t> mUnanswered{ 0 };
  std::atomic<std::uint64_t> mReplaced{ 0 };
  std::atomic<std::uint64_t> mLinkCount{ 0 };
  std::atomic<std::size_t> mPendingCount{ 0 };
  std::thread mThread;
};

} // namespace porttiller
