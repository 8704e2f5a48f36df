#include "PeerLoopPriv.h"

#include "MessageCodecPriv.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr const char* kWakeAddress = "inproc://wake";
constexpr int kHighWaterMark = 256; // messages queued per peer
constexpr Millis kMaxPollTimeout{ 1000 };
constexpr int kMinReconnectMs = 100;
// A link with unacknowledged data is reconnected after this time. TCP backs off
// exponentially: after an outage it may wait for as long as the outage lasted
// before it sends again.
constexpr int kMaxUnacknowledgedMs = 1000;
constexpr int kConnectTimeoutMs = 700;
constexpr int kMaxReconnectMs = 500;
// Number of checks for idle links per PeerTransportOptions::mIdleClose.
constexpr int kIdleChecksPerTimeout = 4;
// Time-out of a one-way message that is sent as a request to check its link.
constexpr Millis kDeliveryCheckTimeout{ 1000 };

PeerError
MakeError(PeerErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

// Receivers add up usage reports of workspaces; a repeated one counts twice.
bool
IsRepeatable(wire::Envelope::BodyCase aKind)
{
  return aKind != wire::Envelope::kWorkspaceReport;
}

// Messages that must arrive although each may be sent only once. Sending them
// as requests is harmless.
bool
NeedsDeliveryCheck(wire::Envelope::BodyCase aKind)
{
  return aKind == wire::Envelope::kBoxRecords ||
         aKind == wire::Envelope::kProbe ||
         aKind == wire::Envelope::kCrashReport;
}

} // namespace

PeerLoop::PeerLoop(PeerTransportOptions aOptions, PeerHandler aHandler)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mContext(1)
  , mIncoming(mContext, zmq::socket_type::router)
  , mOutgoing(mContext, zmq::socket_type::router)
  , mWakeReceiver(mContext, zmq::socket_type::pair)
  , mWakeSender(mContext, zmq::socket_type::pair)
{
}

PeerLoop::~PeerLoop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mWakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

tl::expected<void, PeerError>
PeerLoop::Bind()
{
  try {
    for (auto* socket : { &mIncoming, &mOutgoing }) {
      socket->set(zmq::sockopt::linger, 0);
      socket->set(zmq::sockopt::sndhwm, kHighWaterMark);
      socket->set(zmq::sockopt::rcvhwm, kHighWaterMark);
      socket->set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
      socket->set(zmq::sockopt::tcp_maxrt, kMaxUnacknowledgedMs);
    }
    mOutgoing.set(zmq::sockopt::reconnect_ivl, kMinReconnectMs);
    mOutgoing.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    mOutgoing.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    mIncoming.bind("tcp://" + mOptions.mBindAddress);
    mWakeReceiver.bind(kWakeAddress);
    mWakeSender.connect(kWakeAddress);
  } catch (const zmq::error_t& e) {
    return tl::make_unexpected(
      MakeError(PeerErrorKind::kBind, mOptions.mBindAddress + ": " + e.what()));
  }
  return {};
}

void
PeerLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

bool
PeerLoop::Post(PeerCommand& aCommand)
{
  const std::lock_guard lock(mMutex);
  if (mStopping) {
    return false;
  }
  mCommands.push_back(std::move(aCommand));
  if (mCommands.size() == 1) {
    mWakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
  }
  return true;
}

PeerCommand
PeerLoop::MakeCommand(wire::Envelope aEnvelope,
                      std::uint64_t aCorrelation) const
{
  aEnvelope.set_from_box(mOptions.mBox.Value());
  aEnvelope.set_from_incarnation(mOptions.mIncarnation.Value());
  aEnvelope.set_correlation(aCorrelation);
  return { .mKind = aEnvelope.body_case(),
           .mPayload = EncodeMessage(aEnvelope),
           .mCorrelation = aCorrelation };
}

void
PeerLoop::PostRequest(const std::string& aAddress,
                      wire::Envelope aRequest,
                      Millis aTimeout,
                      PeerCallback aCallback)
{
  if (mPendingCount >= mOptions.mMaxPending) {
    aCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kBusy, "too many requests wait for replies")));
    return;
  }
  ++mPendingCount;
  std::uint64_t correlation = 0;
  {
    const std::lock_guard lock(mMutex);
    correlation = mNextCorrelation++;
  }
  auto command = MakeCommand(std::move(aRequest), correlation);
  command.mAddress = aAddress;
  command.mDeadline = Now() + aTimeout;
  command.mCallback = std::move(aCallback);
  if (!Post(command)) {
    command.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kClosed, "the transport is stopping")));
  }
}

void
PeerLoop::PostMessage(const std::string& aAddress, wire::Envelope aMessage)
{
  PeerCommand command{ .mAddress = aAddress, .mMessage = std::move(aMessage) };
  static_cast<void>(
    Post(command)); // dropped when stopping: one-way messages may get lost
}

void
PeerLoop::Run()
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
PeerLoop::PollTimeout() const
{
  auto next = Now() + kMaxPollTimeout;
  if (!mDeadlines.empty()) {
    next = std::min(next, mDeadlines.begin()->first);
  }
  if (const auto check = mSilenceDetector.NextCheck()) {
    next = std::min(next, *check);
  }
  return std::max(Millis(0), std::chrono::ceil<Millis>(next - Now()));
}

void
PeerLoop::PollOnce()
{
  std::array<zmq::pollitem_t, 3> items{
    { { mWakeReceiver.handle(), 0, ZMQ_POLLIN, 0 },
      { mIncoming.handle(), 0, ZMQ_POLLIN, 0 },
      { mOutgoing.handle(), 0, ZMQ_POLLIN, 0 } }
  };
  try {
    zmq::poll(items.data(), items.size(), PollTimeout());
  } catch (const zmq::error_t& e) {
    if (e.num() != EINTR) {
      throw;
    }
    return;
  }
  if (items[2].revents != 0) {
    ReceiveReplies();
  }
  if (items[1].revents != 0) {
    ReceiveRequests();
  }
  if (items[0].revents != 0) {
    ProcessCommands();
  }
  ReplaceSilent();
  ExpireRequests();
  CloseIdle();
}

void
PeerLoop::ProcessCommands()
{
  zmq::message_t wake;
  while (mWakeReceiver.recv(wake, zmq::recv_flags::dontwait)) {
  }
  std::deque<PeerCommand> commands;
  {
    const std::lock_guard lock(mMutex);
    commands.swap(mCommands);
  }
  for (auto& command : commands) {
    if (command.mCallback) {
      SendRequest(std::move(command));
    } else if (command.mMessage) {
      SendMessage(std::move(command));
    } else {
      SendOver(mIncoming, command.mRoute, command);
    }
  }
}

void
PeerLoop::SendMessage(PeerCommand aCommand)
{
  const auto* link = LinkTo(aCommand.mAddress);
  if (link == nullptr) {
    return;
  }
  if (!mSilenceDetector.IsQuiet(link->mRoute, Now()) ||
      !NeedsDeliveryCheck(aCommand.mMessage->body_case())) {
    SendOver(
      mOutgoing, link->mRoute, MakeCommand(std::move(*aCommand.mMessage), 0));
    return;
  }
  std::uint64_t correlation = 0;
  {
    const std::lock_guard lock(mMutex);
    correlation = mNextCorrelation++;
  }
  auto request = MakeCommand(std::move(*aCommand.mMessage), correlation);
  request.mAddress = aCommand.mAddress;
  request.mDeadline = Now() + kDeliveryCheckTimeout;
  request.mCallback = [](const PeerResult&) {};
  ++mPendingCount;
  SendRequest(std::move(request));
}

// Null for an address that cannot be connected to: addresses come from records
// that other writers may have changed.
PeerLink*
PeerLoop::LinkTo(const std::string& aAddress)
{
  auto it = mLinks.find(aAddress);
  if (it == mLinks.end()) {
    // A reused routing ID could clash with a link that is still closing.
    const auto route = std::to_string(mNextRoute++);
    mOutgoing.set(zmq::sockopt::connect_routing_id, route);
    try {
      mOutgoing.connect("tcp://" + aAddress);
    } catch (const zmq::error_t&) {
      return nullptr;
    }
    it = mLinks.emplace(aAddress, PeerLink{ .mRoute = route }).first;
    mAddressByRoute.emplace(route, aAddress);
    mSilenceDetector.OnOpened(route, Now());
    mLinkCount = mLinks.size();
  }
  it->second.mLastUse = Now();
  return &it->second;
}

void
PeerLoop::SendRequest(PeerCommand aCommand)
{
  const auto* link = LinkTo(aCommand.mAddress);
  if (link == nullptr) {
    --mPendingCount;
    aCommand.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kAddress, aCommand.mAddress)));
    return;
  }
  mPending[aCommand.mCorrelation] = { .mCallback =
                                        std::move(aCommand.mCallback),
                                      .mAddress = aCommand.mAddress,
                                      .mKind = aCommand.mKind,
                                      .mSent = Now(),
                                      .mRoute = link->mRoute,
                                      .mPayload = aCommand.mPayload };
  mDeadlines.emplace(aCommand.mDeadline, aCommand.mCorrelation);
  mSilenceDetector.OnRequest(link->mRoute, Now());
  SendOver(mOutgoing, link->mRoute, aCommand);
}

// Drops the message if the peer's queue is full; its request then times out.
void
PeerLoop::SendOver(zmq::socket_t& aSocket,
                   const std::string& aRoute,
                   const PeerCommand& aCommand)
{
  const auto more = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  if (aSocket.send(zmq::buffer(aRoute), more) &&
      aSocket.send(zmq::buffer(aCommand.mPayload), zmq::send_flags::dontwait)) {
    CountSent(aCommand);
  }
}

void
PeerLoop::CountSent(const PeerCommand& aCommand)
{
  const auto size = aCommand.mPayload.size();
  mSent += size;
  const auto kind = static_cast<std::size_t>(aCommand.mKind);
  if (kind < mSentByKind.size()) {
    mSentByKind.at(kind) += size;
  }
}

void
PeerLoop::ReceiveRequests()
{
  zmq::message_t route;
  zmq::message_t payload;
  while (mIncoming.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !mIncoming.recv(payload, zmq::recv_flags::dontwait)) {
      continue;
    }
    mReceived += payload.size();
    const auto request = DecodeMessage(payload.to_string_view());
    if (!request) {
      ++mUnreadable;
      continue;
    }
    const auto correlation = request->correlation();
    mHandler(
      *request,
      [this, to = route.to_string(), correlation](wire::Envelope aReply) {
        if (correlation == 0) {
          return; // a one-way message
        }
        auto reply = MakeCommand(std::move(aReply), correlation);
        reply.mRoute = to;
        Post(reply);
      });
  }
}

void
PeerLoop::ReceiveReplies()
{
  zmq::message_t route;
  zmq::message_t payload;
  while (mOutgoing.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !mOutgoing.recv(payload, zmq::recv_flags::dontwait)) {
      continue;
    }
    mReceived += payload.size();
    mSilenceDetector.OnReply(route.to_string(), Now());
    auto reply = DecodeMessage(payload.to_string_view());
    if (!reply) {
      ++mUnreadable;
      continue;
    }
    const auto it = mPending.find(reply->correlation());
    if (it == mPending.end()) {
      ++mLateReplies;
      continue;
    }
    const auto callback = std::move(it->second.mCallback);
    mSilenceDetector.OnReplyTime(it->second.mRoute, Now() - it->second.mSent);
    mPending.erase(it);
    --mPendingCount;
    callback(std::move(*reply));
  }
}

void
PeerLoop::ExpireRequests()
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
    ReportUnanswered(pending);
    pending.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kTimeout, pending.mAddress)));
  }
}

void
PeerLoop::ReplaceSilent()
{
  for (const auto& [route, silent] : mSilenceDetector.TakeSilent(Now())) {
    const auto address = mAddressByRoute.at(route);
    Close(mLinks.find(address));
    ++mReplaced;
    const auto resent = ResendTo(address);
    if (mOptions.mOnReplaced) {
      mOptions.mOnReplaced(
        { .mAddress = address, .mSilent = silent, .mResent = resent });
    }
  }
}

std::size_t
PeerLoop::ResendTo(const std::string& aAddress)
{
  std::size_t resent = 0;
  for (auto& [correlation, pending] : mPending) {
    if (pending.mAddress != aAddress || !IsRepeatable(pending.mKind)) {
      continue;
    }
    const auto* link = LinkTo(aAddress);
    if (link == nullptr) {
      break; // its requests time out
    }
    mSilenceDetector.OnRequest(link->mRoute, Now());
    pending.mSent = Now();
    pending.mRoute = link->mRoute;
    SendOver(mOutgoing,
             pending.mRoute,
             { .mKind = pending.mKind, .mPayload = pending.mPayload });
    ++resent;
  }
  return resent;
}

PeerLoop::Links::iterator
PeerLoop::Close(Links::iterator aLink)
{
  mOutgoing.disconnect("tcp://" + aLink->first);
  mAddressByRoute.erase(aLink->second.mRoute);
  mSilenceDetector.OnClosed(aLink->second.mRoute);
  const auto next = mLinks.erase(aLink);
  mLinkCount = mLinks.size();
  return next;
}

void
PeerLoop::ReportUnanswered(const PeerPending& aPending)
{
  ++mUnanswered;
  if (!mOptions.mOnUnanswered) {
    return;
  }
  const auto now = Now();
  UnansweredRequest request{
    .mAddress = aPending.mAddress,
    .mKind = aPending.mKind,
    .mWaited = std::chrono::duration_cast<Millis>(now - aPending.mSent),
    .mSinceLinkReply = mSilenceDetector.TimeSinceReply(aPending.mRoute, now)
  };
  mOptions.mOnUnanswered(request);
}

void
PeerLoop::CloseIdle()
{
  const auto now = Now();
  if (now < mNextIdleCheck) {
    return;
  }
  mNextIdleCheck = now + mOptions.mIdleClose / kIdleChecksPerTimeout;
  const auto oldest = now - mOptions.mIdleClose;
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    it = it->second.mLastUse >= oldest ? std::next(it) : Close(it);
  }
}

void
PeerLoop::FailAll()
{
  ProcessCommands();
  for (auto& [correlation, pending] : mPending) {
    pending.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kClosed, "the transport is stopping")));
  }
  mPending.clear();
}

PeerTraffic
PeerLoop::Traffic() const
{
  PeerTraffic traffic{ .mBytesSent = mSent,
                       .mBytesReceived = mReceived,
                       .mLateReplies = mLateReplies,
                       .mUnreadable = mUnreadable,
                       .mUnanswered = mUnanswered,
                       .mLinks = mLinkCount,
                       .mReplacedLinks = mReplaced };
  for (std::size_t kind = 0; kind < mSentByKind.size(); ++kind) {
    if (mSentByKind.at(kind) > 0) {
      traffic.mSentByKind[static_cast<wire::Envelope::BodyCase>(kind)] =
        mSentByKind.at(kind);
    }
  }
  return traffic;
}

} // namespace porttiller
