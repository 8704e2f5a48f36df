#include "porttiller/http/HttpListener.h"

#include "ListenerLoopPriv.h"
#include "ListenerRejectionPriv.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <algorithm>

namespace porttiller {

namespace {

using Poco::Net::PollSet;

constexpr int kBacklog = 512; // connections that wait to be accepted
// Idle worker threads that are kept; a box may have a tenth of a core.
constexpr int kMinThreads = 1;
// Idle worker threads above kMinThreads end after this.
constexpr int kThreadIdleSeconds = 10;
// Stack of a worker. Its call depth is small, and small boxes are short of
// address space.
constexpr int kStackBytes = 256 << 10;
// With a budget for unsent answers; the system doubles it. By default it grows
// a send buffer to megabytes, which would be counted only at the next sweep: an
// answer of 90 KB must not fit into it.
constexpr int kSendBufferBytes = 32 << 10;
// With such a send buffer: on loopback a segment has up to 64 KB, so that the
// buffer holds one, and a peer delays its acknowledgement by 40 ms.
constexpr int kMaxSegmentBytes = 8 << 10;
// How often the timeouts of connections are checked.
constexpr Millis kSweepInterval{ 500 };
// Poll timeout without connections, when there are no timeouts to check.
constexpr Millis kPollTimeoutIdle{ 60'000 };

} // namespace

// Runs one request on a worker; deletes itself.
class HttpListener::Loop::Job : public Poco::Runnable
{
public:
  Job(Loop& aLoop, HttpConnectionPtr aConnection, RunnableCall aCall)
    : mLoop(aLoop)
    , mConnection(std::move(aConnection))
    , mCall(std::move(aCall))
  {
  }

  void run() override
  {
    const std::unique_ptr<Job> self(this);
    mLoop.Serve(mConnection, mCall);
  }

private:
  Loop& mLoop;
  HttpConnectionPtr mConnection;
  RunnableCall mCall;
};

HttpListener::Loop::Loop(HttpListenerOptions aOptions, HttpHandler aHandler)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mLimits(ConnectionLimits{ .mMessage = mOptions.mLimits,
                              .mRead = mOptions.mReadTimeout,
                              .mIdle = mOptions.mIdleClose })
  , mUnsent(mOptions.mUnsentBudget, mOptions.mUnreadTimeout)
{
  if (mOptions.mWorkers > 0) {
    mWorkers = std::make_unique<Poco::ThreadPool>(
      kMinThreads, mOptions.mWorkers, kThreadIdleSeconds, kStackBytes);
  }
}

void
HttpListener::Loop::Open()
{
  // Without SO_REUSEPORT, which POCO sets by default, so that a port in use is
  // an error.
  mSocket.bind(Poco::Net::SocketAddress(mOptions.mAddress), true, false);
  if (mOptions.mUnsentBudget > 0) {
    SetMaxSegment(mSocket, kMaxSegmentBytes);
  }
  mSocket.listen(kBacklog);
  mSocket.setBlocking(false);
  mPoll.add(mSocket, PollSet::POLL_READ);
  mPoll.add(mWake.Socket(), PollSet::POLL_READ);
  if (mOptions.mBodyBudget) {
    mOptions.mBodyBudget->NotifyRoom([this] {
      if (!mRoom.exchange(true)) {
        mWake.Signal();
      }
    });
  }
  mThread = std::thread([this] { Run(); });
}

void
HttpListener::Loop::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  mDraining = true;
  mStopping = true;
  mWake.Signal();
  mThread.join();
  if (mWorkers) {
    mWorkers->joinAll();
  }
  if (mOptions.mBodyBudget) {
    mOptions.mBodyBudget->NotifyRoom({});
  }
}

bool
HttpListener::Loop::IsDrained() const
{
  return mOpenCalls == 0 && mConnections.empty();
}

void
HttpListener::Loop::Run()
{
  auto nextSweep = Now() + kSweepInterval;
  bool accepting = true;
  for (;;) {
    if (mStopping && accepting) {
      accepting = false;
      mPoll.remove(mSocket);
      mSocket.close();
      Sweep();
    }
    if (mStopping && IsDrained()) {
      return;
    }
    const auto timeout =
      mConnections.empty() && !mStopping
        ? kPollTimeoutIdle
        : std::max(Millis(1), std::chrono::ceil<Millis>(nextSweep - Now()));
    const auto events = mPoll.poll(Poco::Timespan(Micros(timeout).count()));
    for (const auto& [socket, modes] : events) {
      OnEvents(socket, modes);
    }
    if (Now() >= nextSweep) {
      Sweep();
      nextSweep = Now() + kSweepInterval;
    }
  }
}

void
HttpListener::Loop::OnEvents(const Poco::Net::Socket& aSocket, int aModes)
{
  if (aSocket == mWake.Socket()) {
    mWake.Clear();
    std::vector<HttpConnectionPtr> toRearm;
    {
      const std::lock_guard lock(mToRearmMutex);
      toRearm.swap(mToRearm);
    }
    for (const auto& connection : toRearm) {
      Rearm(connection);
    }
    if (mRoom.exchange(false)) {
      ResumeWaiting();
    }
    return;
  }
  if (aSocket == mSocket) {
    Accept();
    return;
  }
  const auto it = mConnections.find(aSocket);
  if (it == mConnections.end()) {
    return;
  }
  const auto connection = it->second;
  if ((aModes & PollSet::POLL_WRITE) != 0) {
    connection->OnWritable();
  }
  if ((aModes & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
    if ((mModes[aSocket] & PollSet::POLL_READ) != 0) {
      Dispatch(connection, connection->OnReadable(Now()));
    } else {
      connection->Abandon(); // not polled for input: reset by the peer
    }
  }
  Rearm(connection);
}

void
HttpListener::Loop::Accept()
{
  try {
    auto socket = mSocket.acceptConnection();
    if (mConnections.size() >=
        static_cast<std::size_t>(mOptions.mConnections)) {
      return; // closed unread
    }
    socket.setBlocking(false);
    socket.setNoDelay(true);
    if (mOptions.mUnsentBudget > 0) {
      socket.setSendBufferSize(kSendBufferBytes);
    }
    auto connection = std::make_shared<HttpConnection>(
      socket, mOptions, mUnsent, mLimits, Now());
    mConnections[socket] = connection;
    mModes[socket] = PollSet::POLL_READ;
    mPoll.add(socket, PollSet::POLL_READ);
  } catch (const Poco::Exception&) {
    return; // closed before it was accepted, or out of file descriptors
  }
}

void
HttpListener::Loop::Rearm(const HttpConnectionPtr& aConnection)
{
  const auto& socket = aConnection->Socket();
  if (!mConnections.contains(socket)) {
    return;
  }
  const auto interest = aConnection->Interest();
  if (interest.mClosed) {
    Remove(aConnection);
    return;
  }
  const int modes = (interest.mRead ? PollSet::POLL_READ : 0) |
                    (interest.mWrite ? PollSet::POLL_WRITE : 0);
  auto& armed = mModes[socket];
  if (armed != modes) {
    mPoll.update(socket, modes);
    armed = modes;
  }
}

void
HttpListener::Loop::Remove(const HttpConnectionPtr& aConnection)
{
  auto socket = aConnection->Socket();
  mPoll.remove(socket);
  mModes.erase(socket);
  mConnections.erase(socket);
  aConnection->Abandon();
  try {
    socket.close();
  } catch (const Poco::Exception&) {
    return; // already closed
  }
}

void
HttpListener::Loop::Sweep()
{
  const auto now = Now();
  mUnsent.Sample(now);
  const auto connections = mConnections; // Rearm may remove some
  for (const auto& [socket, connection] : connections) {
    connection->CheckTimeouts(now, mStopping);
    Rearm(connection);
  }
}

void
HttpListener::Loop::ResumeWaiting()
{
  const auto connections = mConnections; // Rearm may remove some
  for (const auto& [socket, connection] : connections) {
    Dispatch(connection, connection->OnRoom(Now()));
    Rearm(connection);
  }
}

void
HttpListener::Loop::Dispatch(const HttpConnectionPtr& aConnection,
                             std::vector<RunnableCall> aCalls)
{
  for (auto& call : aCalls) {
    ++mOpenCalls;
    if (!mUnsent.Admits(call.mHasRead)) {
      auto reply = MakeRejection(
        mOptions, ListenerRejection::kUnsentFull, mUnsent.RetryAfter());
      reply.mClose = true;
      Complete(aConnection, call.mId, reply);
      continue;
    }
    if (!mWorkers) {
      Serve(aConnection, call);
      continue;
    }
    const auto id = call.mId;
    auto job = std::make_unique<Job>(*this, aConnection, std::move(call));
    try {
      mWorkers->start(*job);
      job.release(); // NOLINT(bugprone-unused-return-value): it owns itself
    } catch (const Poco::NoThreadAvailableException&) {
      Complete(
        aConnection, id, MakeRejection(mOptions, ListenerRejection::kNoWorker));
    }
  }
}

void
HttpListener::Loop::Complete(const HttpConnectionPtr& aConnection,
                             std::uint64_t aCall,
                             const HttpReply& aReply)
{
  const auto next = aConnection->Complete(aCall, aReply, mDraining);
  --mOpenCalls;
  Dispatch(aConnection, next);
}

HttpReply
HttpListener::Loop::RunHandler(HttpCall& aCall)
{
  try {
    return mHandler(aCall);
  } catch (const std::exception& e) {
    if (mOptions.mOnException) {
      mOptions.mOnException(e.what());
    }
    return MakeRejection(mOptions, ListenerRejection::kHandlerFailed);
  }
}

void
HttpListener::Loop::Serve(const HttpConnectionPtr& aConnection,
                          RunnableCall& aCall)
{
  const auto reply = RunHandler(aCall.mCall);
  const auto next = aConnection->Complete(aCall.mId, reply, mDraining);
  Dispatch(aConnection, next);
  const auto interest = aConnection->Interest();
  --mOpenCalls;
  // The I/O thread has to poll for other events only if the answer was not
  // written completely or closed the connection.
  if (interest.mWrite || interest.mClosed || mStopping) {
    {
      const std::lock_guard lock(mToRearmMutex);
      mToRearm.push_back(aConnection);
    }
    mWake.Signal();
  }
}

HttpListener::HttpListener(std::unique_ptr<Loop> aLoop)
  : mLoop(std::move(aLoop))
{
}

tl::expected<std::unique_ptr<HttpListener>, std::string>
HttpListener::Make(HttpListenerOptions aOptions, HttpHandler aHandler)
{
  const auto address = aOptions.mAddress;
  try {
    auto loop =
      std::make_unique<Loop>(std::move(aOptions), std::move(aHandler));
    loop->Open();
    return std::unique_ptr<HttpListener>(new HttpListener(std::move(loop)));
  } catch (const Poco::Exception& e) {
    return tl::make_unexpected(address + ": " + e.displayText());
  }
}

HttpListener::~HttpListener()
{
  StopGracefully();
}

void
HttpListener::BeginDrain()
{
  mLoop->Drain();
}

void
HttpListener::SetLimits(const MessageLimits& aLimits,
                        Millis aReadTimeout,
                        Millis aIdleClose)
{
  mLoop->SetLimits(
    { .mMessage = aLimits, .mRead = aReadTimeout, .mIdle = aIdleClose });
}

std::size_t
HttpListener::UnsentBytes() const
{
  return mLoop->UnsentBytes();
}

void
HttpListener::StopGracefully()
{
  mLoop->Stop();
}

} // namespace porttiller
