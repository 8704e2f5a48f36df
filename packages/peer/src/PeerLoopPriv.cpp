#include "PeerLoopPriv.h"

#include "MessageCodecPriv.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr const char* kWakeAddress = "inproc://wake";
constexpr int kHighWaterMark = 256; // messages queued for one peer
constexpr Millis kMaxPollWait{ 1000 };
constexpr int kReconnectMs = 100;
// A link over which a cut has lost bytes is made anew after this: TCP itself
// would wait as long again as the cut has lasted.
constexpr int kMaxUnacknowledgedMs = 1000;
constexpr int kConnectMs = 700;
constexpr int kMaxReconnectMs = 500;
constexpr int kIdleLooks = 4; // for idle links, while one becomes idle
// A device on the path may forget a link without an end or a reset. One that
// answered before and is silent for this long and for several times what its
// last reply took is made anew, and what waits is sent again over it. More than
// TCP's least retransmission time-out of 200 ms, so that a lost packet is not
// taken for silence.
constexpr Millis kLinkPatience{ 350 };
constexpr int kUsualReplies = 4;
// A link that never answered may still be on its way.
constexpr Millis kUnheardTime{ 3000 };
// A message without a reply over a link that has carried none for this long
// asks for one.
constexpr Millis kQuietTime{ 1000 };
constexpr Millis kCheckTimeout{ 1000 };

PeerError
MakeError(PeerErrorKind aKind, std::string aDetail)
{
  return { .mKind = aKind, .mDetail = std::move(aDetail) };
}

// When a link on which a request waits has been silent for too long.
TimePoint
SilentAt(const PeerLink& aLink)
{
  const auto usual = aLink.mReplyTime.value_or(Micros(0));
  const auto at =
    *aLink.mWaitsSince + std::max<Micros>(kLinkPatience, kUsualReplies * usual);
  return aLink.mHeard ? at : std::max(at, aLink.mMade + kUnheardTime);
}

// Receivers add up what reports count.
bool
MayRepeat(wire::Envelope::BodyCase aKind)
{
  return aKind != wire::Envelope::kWorkspaceReport;
}

// What others rely on even if it is told once, and answer without harm.
bool
MustArrive(wire::Envelope::BodyCase aKind)
{
  return aKind == wire::Envelope::kBoxRecords ||
         aKind == wire::Envelope::kProbe;
}

bool
IsQuiet(const PeerLink& aLink)
{
  return aLink.mHeard && *aLink.mHeard + kQuietTime < Now();
}

} // namespace

PeerLoop::PeerLoop(PeerTransportOptions aOptions, PeerHandler aHandler)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mContext(1)
  , mRouter(mContext, zmq::socket_type::router)
  , mCaller(mContext, zmq::socket_type::router)
  , mWake(mContext, zmq::socket_type::pair)
  , mWaker(mContext, zmq::socket_type::pair)
{
}

PeerLoop::~PeerLoop()
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
PeerLoop::Bind()
{
  try {
    for (auto* socket : { &mRouter, &mCaller }) {
      socket->set(zmq::sockopt::linger, 0);
      socket->set(zmq::sockopt::sndhwm, kHighWaterMark);
      socket->set(zmq::sockopt::rcvhwm, kHighWaterMark);
      socket->set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
      socket->set(zmq::sockopt::tcp_maxrt, kMaxUnacknowledgedMs);
    }
    mCaller.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    mCaller.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    mCaller.set(zmq::sockopt::connect_timeout, kConnectMs);
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
    mWaker.send(zmq::message_t(), zmq::send_flags::dontwait);
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
    aCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kBusy, "too many waiting")));
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
    command.mCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kClosed, "stopping")));
  }
}

void
PeerLoop::PostMessage(const std::string& aAddress, wire::Envelope aMessage)
{
  PeerCommand command{ .mAddress = aAddress, .mMessage = std::move(aMessage) };
  static_cast<void>(Post(command)); // lost when stopping, as any may be
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
PeerLoop::PollWait() const
{
  auto next = Now() + kMaxPollWait;
  if (!mDeadlines.empty()) {
    next = std::min(next, mDeadlines.begin()->first);
  }
  if (!mLinkChecks.empty()) {
    next = std::min(next, mLinkChecks.begin()->first);
  }
  return std::max(Millis(0), std::chrono::ceil<Millis>(next - Now()));
}

void
PeerLoop::PollOnce()
{
  std::array<zmq::pollitem_t, 3> items{
    { { mWake.handle(), 0, ZMQ_POLLIN, 0 },
      { mRouter.handle(), 0, ZMQ_POLLIN, 0 },
      { mCaller.handle(), 0, ZMQ_POLLIN, 0 } }
  };
  try {
    zmq::poll(items.data(), items.size(), PollWait());
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
    TakeCommands();
  }
  CheckLinks();
  Expire();
  CloseIdle();
}

void
PeerLoop::TakeCommands()
{
  zmq::message_t wake;
  while (mWake.recv(wake, zmq::recv_flags::dontwait)) {
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
      SendOver(mRouter, command.mRoute, command);
    }
  }
}

void
PeerLoop::SendMessage(PeerCommand aCommand)
{
  const auto& link = LinkTo(aCommand.mAddress);
  if (!IsQuiet(link) || !MustArrive(aCommand.mMessage->body_case())) {
    SendOver(
      mCaller, link.mRoute, MakeCommand(std::move(*aCommand.mMessage), 0));
    return;
  }
  std::uint64_t correlation = 0;
  {
    const std::lock_guard lock(mMutex);
    correlation = mNextCorrelation++;
  }
  auto request = MakeCommand(std::move(*aCommand.mMessage), correlation);
  request.mAddress = aCommand.mAddress;
  request.mDeadline = Now() + kCheckTimeout;
  request.mCallback = [](const PeerResult&) {};
  ++mPendingCount;
  SendRequest(std::move(request));
}

PeerLink&
PeerLoop::LinkTo(const std::string& aAddress)
{
  auto it = mLinks.find(aAddress);
  if (it == mLinks.end()) {
    // A route must not be given out again while its last link is going.
    const auto route = std::to_string(mNextLink++);
    mCaller.set(zmq::sockopt::connect_routing_id, route);
    mCaller.connect("tcp://" + aAddress);
    it = mLinks.emplace(aAddress, PeerLink{ .mRoute = route, .mMade = Now() })
           .first;
    mAddresses.emplace(route, aAddress);
    mLinkCount = mLinks.size();
  }
  it->second.mLastUse = Now();
  return it->second;
}

void
PeerLoop::SendRequest(PeerCommand aCommand)
{
  auto& link = LinkTo(aCommand.mAddress);
  mPending[aCommand.mCorrelation] = { .mCallback =
                                        std::move(aCommand.mCallback),
                                      .mAddress = aCommand.mAddress,
                                      .mKind = aCommand.mKind,
                                      .mSent = Now(),
                                      .mRoute = link.mRoute,
                                      .mPayload = aCommand.mPayload };
  mDeadlines.emplace(aCommand.mDeadline, aCommand.mCorrelation);
  AwaitReply(link, aCommand.mAddress);
  SendOver(mCaller, link.mRoute, aCommand);
}

// A full queue drops what is sent; time-outs tell callers that wait.
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
  while (mRouter.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !mRouter.recv(payload, zmq::recv_flags::dontwait)) {
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
          return; // nobody waits for it
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
  while (mCaller.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !mCaller.recv(payload, zmq::recv_flags::dontwait)) {
      continue;
    }
    mReceived += payload.size();
    NoteHeard(route.to_string());
    auto reply = DecodeMessage(payload.to_string_view());
    if (!reply) {
      ++mUnreadable;
      continue;
    }
    const auto it = mPending.find(reply->correlation());
    if (it == mPending.end()) {
      ++mLate;
      continue;
    }
    const auto callback = std::move(it->second.mCallback);
    const auto link = mLinks.find(it->second.mAddress);
    if (link != mLinks.end()) {
      link->second.mReplyTime = Now() - it->second.mSent;
    }
    mPending.erase(it);
    --mPendingCount;
    callback(std::move(*reply));
  }
}

void
PeerLoop::Expire()
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
    NoteUnanswered(pending);
    pending.mCallback(tl::make_unexpected(
      MakeError(PeerErrorKind::kTimeout, pending.mAddress)));
  }
}

void
PeerLoop::NoteHeard(const std::string& aRoute)
{
  const auto address = mAddresses.find(aRoute);
  if (address != mAddresses.end()) {
    auto& link = mLinks.at(address->second);
    link.mHeard = Now();
    link.mWaitsSince.reset();
  }
}

// A request waits on the link: plans the look whether a reply has come.
void
PeerLoop::AwaitReply(PeerLink& aLink, const std::string& aAddress)
{
  if (!aLink.mWaitsSince) {
    aLink.mWaitsSince = Now();
    mLinkChecks.emplace(SilentAt(aLink), LinkCheck{ aAddress, aLink.mRoute });
  }
}

void
PeerLoop::CheckLinks()
{
  const auto now = Now();
  while (!mLinkChecks.empty() && mLinkChecks.begin()->first <= now) {
    const auto check = mLinkChecks.begin()->second;
    mLinkChecks.erase(mLinkChecks.begin());
    const auto link = mLinks.find(check.mAddress);
    if (link == mLinks.end() || link->second.mRoute != check.mRoute ||
        !link->second.mWaitsSince) {
      continue;
    }
    const auto silentAt = SilentAt(link->second);
    if (silentAt <= now) {
      Replace(link);
    } else {
      mLinkChecks.emplace(silentAt, check);
    }
  }
}

void
PeerLoop::Replace(Links::iterator aLink)
{
  const auto address = aLink->first;
  const auto silent =
    std::chrono::duration_cast<Millis>(Now() - *aLink->second.mWaitsSince);
  Close(aLink);
  ++mReplaced;
  const auto resent = ResendTo(address);
  if (mOptions.mOnReplaced) {
    mOptions.mOnReplaced(
      { .mAddress = address, .mSilent = silent, .mResent = resent });
  }
}

std::size_t
PeerLoop::ResendTo(const std::string& aAddress)
{
  std::size_t resent = 0;
  for (auto& [correlation, pending] : mPending) {
    if (pending.mAddress != aAddress || !MayRepeat(pending.mKind)) {
      continue;
    }
    auto& link = LinkTo(aAddress);
    AwaitReply(link, aAddress);
    pending.mSent = Now();
    pending.mRoute = link.mRoute;
    SendOver(mCaller,
             pending.mRoute,
             { .mKind = pending.mKind, .mPayload = pending.mPayload });
    ++resent;
  }
  return resent;
}

PeerLoop::Links::iterator
PeerLoop::Close(Links::iterator aLink)
{
  mCaller.disconnect("tcp://" + aLink->first);
  mAddresses.erase(aLink->second.mRoute);
  const auto next = mLinks.erase(aLink);
  mLinkCount = mLinks.size();
  return next;
}

void
PeerLoop::NoteUnanswered(const PeerPending& aPending)
{
  ++mUnanswered;
  if (!mOptions.mOnUnanswered) {
    return;
  }
  const auto now = Now();
  UnansweredRequest request{ .mAddress = aPending.mAddress,
                             .mKind = aPending.mKind,
                             .mWaited = std::chrono::duration_cast<Millis>(
                               now - aPending.mSent) };
  const auto link = mLinks.find(aPending.mAddress);
  if (link != mLinks.end() && link->second.mHeard) {
    request.mLinkHeard =
      std::chrono::duration_cast<Millis>(now - *link->second.mHeard);
  }
  mOptions.mOnUnanswered(request);
}

void
PeerLoop::CloseIdle()
{
  const auto now = Now();
  if (now < mNextIdleLook) {
    return;
  }
  mNextIdleLook = now + mOptions.mIdleClose / kIdleLooks;
  const auto oldest = now - mOptions.mIdleClose;
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    it = it->second.mLastUse >= oldest ? std::next(it) : Close(it);
  }
}

void
PeerLoop::FailAll()
{
  TakeCommands();
  for (auto& [correlation, pending] : mPending) {
    pending.mCallback(
      tl::make_unexpected(MakeError(PeerErrorKind::kClosed, "stopping")));
  }
  mPending.clear();
}

PeerTraffic
PeerLoop::Traffic() const
{
  PeerTraffic traffic{ .mBytesSent = mSent,
                       .mBytesReceived = mReceived,
                       .mLateReplies = mLate,
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
