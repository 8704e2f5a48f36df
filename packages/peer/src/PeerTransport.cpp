#include "porttiller/peer/PeerTransport.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

namespace porttiller {

namespace {

constexpr const char* kWakeAddress = "inproc://wake";
constexpr int kHighWaterMark = 256; // messages queued for one peer
constexpr Millis kMaxPollWait{ 1000 };
constexpr std::int64_t kMaxMessageBytes = 8 << 20;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;

struct Command
{
  std::string mAddress; // of a request
  std::string mRoute;   // of a reply
  std::string mPayload;
  std::uint64_t mCorrelation = 0;
  TimePoint mDeadline;
  PeerCallback mCallback; // null for a reply
};

struct Link
{
  zmq::socket_t mSocket;
  TimePoint mLastUse;
};

struct Pending
{
  PeerCallback mCallback;
  std::string mAddress;
};

PeerError
MakeError(PeerErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

} // namespace

class PeerTransport::Loop
{
public:
  Loop(PeerTransportOptions aOptions, PeerHandler aHandler);
  ~Loop();

  tl::expected<void, PeerError> Bind();
  void Start();
  // False once the transport is stopping; aCommand is then untouched.
  bool Post(Command& aCommand);
  void PostRequest(const std::string& aAddress,
                   wire::Envelope aRequest,
                   Millis aTimeout,
                   PeerCallback aCallback);
  PeerTraffic Traffic() const;

private:
  void Run();
  Millis PollWait() const;
  void PollOnce();
  void TakeCommands();
  void SendRequest(Command aCommand);
  void SendReply(const Command& aCommand);
  void ReceiveRequests();
  void ReceiveReplies(Link& aLink);
  void Expire();
  void CloseIdle();
  Link& LinkTo(const std::string& aAddress);
  void FailAll();

  PeerTransportOptions mOptions;
  PeerHandler mHandler;
  zmq::context_t mContext;
  zmq::socket_t mRouter;
  zmq::socket_t mWake;
  zmq::socket_t mWaker; // under mMutex
  std::unordered_map<std::string, Link> mLinks;
  std::unordered_map<std::uint64_t, Pending> mPending;
  std::multimap<TimePoint, std::uint64_t> mDeadlines;
  std::mutex mMutex;
  std::deque<Command> mCommands;
  bool mStopping = false;
  std::uint64_t mNextCorrelation = 1;
  std::atomic<std::uint64_t> mSent{ 0 };
  std::atomic<std::uint64_t> mReceived{ 0 };
  std::atomic<std::uint64_t> mLate{ 0 };
  std::atomic<std::uint64_t> mLinkCount{ 0 };
  std::atomic<std::size_t> mPendingCount{ 0 };
  std::thread mThread;
};

PeerTransport::Loop::Loop(PeerTransportOptions aOptions, PeerHandler aHandler)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mContext(1)
  , mRouter(mContext, zmq::socket_type::router)
  , mWake(mContext, zmq::socket_type::pair)
  , mWaker(mContext, zmq::socket_type::pair)
{
}

PeerTransport::Loop::~Loop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mWaker.send(zmq::message_t(), zmq::send_flags::dontwait);
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

tl::expected<void, PeerError>
PeerTransport::Loop::Bind()
{
  try {
    mRouter.set(zmq::sockopt::linger, 0);
    mRouter.set(zmq::sockopt::sndhwm, kHighWaterMark);
    mRouter.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    mRouter.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    mRouter.bind("tcp://" + mOptions.mBindAddress);
    mWake.bind(kWakeAddress);
    mWaker.connect(kWakeAddress);
  } catch (const zmq::error_t& e) {
    return tl::make_unexpected(
      MakeError(PeerErrorKind::kBind, mOptions.mBindAddress + ": " + e.what()));
  }
  return {};
}

void
PeerTransport::Loop::Start()
{
  mThread = std::thread([this] { Run(); });
}

bool
PeerTransport::Loop::Post(Command& aCommand)
{
  const std::lock_guard lock(mMutex);
  if (mStopping) {
    return false;
  }
  mCommands.push_back(std::move(aCommand));
  if (mCommands.size() == 1) {
    mWaker.send(zmq::message_t(), zmq::send_flags::dontwait);
  }
  return true;
}

void
PeerTransport::Loop::PostRequest(const std::string& aAddress,
                                 wire::Envelope aRequest,
                                 Millis aTimeout,
                                 PeerCallback aCallback)
{
  if (mPendingCount >= mOptions.mMaxPending) {
    aCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kBusy, "too many waiting")));
    return;
  }
  ++mPendingCount;
  Command command{ .mAddress = aAddress,
                   .mDeadline = Now() + aTimeout,
                   .mCallback = std::move(aCallback) };
  {
    const std::lock_guard lock(mMutex);
    command.mCorrelation = mNextCorrelation++;
  }
  aRequest.set_from_box(mOptions.mBox.Value());
  aRequest.set_from_incarnation(mOptions.mIncarnation.Value());
  aRequest.set_correlation(command.mCorrelation);
  command.mPayload = aRequest.SerializeAsString();
  if (!Post(command)) {
    command.mCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kClosed, "stopping")));
  }
}

void
PeerTransport::Loop::Run()
{
  for (;;) {
    PollOnce();
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      break;
    }
  }
  FailAll();
}

Millis
PeerTransport::Loop::PollWait() const
{
  if (mDeadlines.empty()) {
    return kMaxPollWait;
  }
  const auto left =
    std::chrono::ceil<Millis>(mDeadlines.begin()->first - Now());
  return std::clamp(left, Millis(0), kMaxPollWait);
}

void
PeerTransport::Loop::PollOnce()
{
  std::vector<zmq::pollitem_t> items;
  std::vector<Link*> links;
  items.push_back({ mWake.handle(), 0, ZMQ_POLLIN, 0 });
  items.push_back({ mRouter.handle(), 0, ZMQ_POLLIN, 0 });
  for (auto& [address, link] : mLinks) {
    items.push_back({ link.mSocket.handle(), 0, ZMQ_POLLIN, 0 });
    links.push_back(&link);
  }
  try {
    zmq::poll(items, PollWait());
  } catch (const zmq::error_t& e) {
    if (e.num() != EINTR) {
      throw;
    }
    return;
  }
  for (std::size_t i = 0; i < links.size(); ++i) {
    if (items[i + 2].revents != 0) {
      ReceiveReplies(*links[i]);
    }
  }
  if (items[1].revents != 0) {
    ReceiveRequests();
  }
  if (items[0].revents != 0) {
    TakeCommands();
  }
  Expire();
  CloseIdle();
}

void
PeerTransport::Loop::TakeCommands()
{
  zmq::message_t wake;
  while (mWake.recv(wake, zmq::recv_flags::dontwait)) {
  }
  std::deque<Command> commands;
  {
    const std::lock_guard lock(mMutex);
    commands.swap(mCommands);
  }
  for (auto& command : commands) {
    if (command.mCallback) {
      SendRequest(std::move(command));
    } else {
      SendReply(command);
    }
  }
}

Link&
PeerTransport::Loop::LinkTo(const std::string& aAddress)
{
  auto it = mLinks.find(aAddress);
  if (it == mLinks.end()) {
    zmq::socket_t socket(mContext, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    socket.connect("tcp://" + aAddress);
    it = mLinks.emplace(aAddress, Link{ std::move(socket), {} }).first;
    ++mLinkCount;
  }
  it->second.mLastUse = Now();
  return it->second;
}

void
PeerTransport::Loop::SendRequest(Command aCommand)
{
  auto& link = LinkTo(aCommand.mAddress);
  const auto size = aCommand.mPayload.size();
  mPending[aCommand.mCorrelation] = { std::move(aCommand.mCallback),
                                      aCommand.mAddress };
  mDeadlines.emplace(aCommand.mDeadline, aCommand.mCorrelation);
  // A full queue drops the request; its time-out tells the caller.
  if (link.mSocket.send(zmq::buffer(aCommand.mPayload),
                        zmq::send_flags::dontwait)) {
    mSent += size;
  }
}

void
PeerTransport::Loop::SendReply(const Command& aCommand)
{
  const auto more = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  if (mRouter.send(zmq::buffer(aCommand.mRoute), more) &&
      mRouter.send(zmq::buffer(aCommand.mPayload), zmq::send_flags::dontwait)) {
    mSent += aCommand.mPayload.size();
  }
}

void
PeerTransport::Loop::ReceiveRequests()
{
  zmq::message_t route;
  zmq::message_t payload;
  while (mRouter.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !mRouter.recv(payload, zmq::recv_flags::dontwait)) {
      continue;
    }
    mReceived += payload.size();
    wire::Envelope request;
    if (!request.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size()))) {
      continue;
    }
    const auto correlation = request.correlation();
    mHandler(
      request,
      [this, to = route.to_string(), correlation](wire::Envelope aReply) {
        aReply.set_from_box(mOptions.mBox.Value());
        aReply.set_from_incarnation(mOptions.mIncarnation.Value());
        aReply.set_correlation(correlation);
        Command reply{ .mRoute = to, .mPayload = aReply.SerializeAsString() };
        Post(reply);
      });
  }
}

void
PeerTransport::Loop::ReceiveReplies(Link& aLink)
{
  zmq::message_t payload;
  while (aLink.mSocket.recv(payload, zmq::recv_flags::dontwait)) {
    mReceived += payload.size();
    wire::Envelope reply;
    if (!reply.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
      continue;
    }
    const auto it = mPending.find(reply.correlation());
    if (it == mPending.end()) {
      ++mLate;
      continue;
    }
    const auto callback = std::move(it->second.mCallback);
    mPending.erase(it);
    --mPendingCount;
    callback(std::move(reply));
  }
}

void
PeerTransport::Loop::Expire()
{
  const auto now = Now();
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= now) {
    const auto correlation = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto it = mPending.find(correlation);
    if (it == mPending.end()) {
      continue;
    }
    const auto pending = std::move(it->second);
    mPending.erase(it);
    --mPendingCount;
    pending.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kTimeout, pending.mAddress)));
  }
}

void
PeerTransport::Loop::CloseIdle()
{
  const auto oldest = Now() - mOptions.mIdleClose;
  std::erase_if(
    mLinks, [&](const auto& aItem) { return aItem.second.mLastUse < oldest; });
  mLinkCount = mLinks.size();
}

void
PeerTransport::Loop::FailAll()
{
  TakeCommands();
  for (auto& [correlation, pending] : mPending) {
    pending.mCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kClosed, "stopping")));
  }
  mPending.clear();
}

PeerTraffic
PeerTransport::Loop::Traffic() const
{
  return { .mBytesSent = mSent,
           .mBytesReceived = mReceived,
           .mLateReplies = mLate,
           .mLinks = mLinkCount };
}

tl::expected<std::unique_ptr<PeerTransport>, PeerError>
PeerTransport::Make(PeerTransportOptions aOptions, PeerHandler aHandler)
{
  auto loop = std::make_unique<Loop>(std::move(aOptions), std::move(aHandler));
  if (auto bound = loop->Bind(); !bound) {
    return tl::make_unexpected(bound.error());
  }
  loop->Start();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(loop)));
}

PeerTransport::PeerTransport(std::unique_ptr<Loop> aLoop)
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
