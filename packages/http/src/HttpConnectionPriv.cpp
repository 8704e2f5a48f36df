#include "HttpConnectionPriv.h"

#include "ListenerRejectionPriv.h"
#include "SocketsPriv.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cassert>

namespace porttiller {

namespace {

constexpr std::size_t kReadChunkBytes = 16 << 10;
// Unparsed input of a connection at which reading pauses.
constexpr std::size_t kMaxReadAheadBytes = 64 << 10;
// Lingering close: time for the peer to read the last answer and close. Closing
// with unread input would send a reset, which can discard that answer.
constexpr Millis kLingerTimeout{ 1000 };

// Frees the buffer of an idle connection. A box of a large fleet holds hundreds
// of mostly idle connections, each of which would keep a buffer of the size of
// its largest message.
void
ReleaseIfEmpty(std::string& aBuffer)
{
  if (aBuffer.empty()) {
    aBuffer.shrink_to_fit();
  }
}

ListenerRejection
RejectionOf(MessageFault aFault)
{
  switch (aFault) {
    case MessageFault::kHeadTooLarge:
      return ListenerRejection::kHeadTooLarge;
    case MessageFault::kBodyTooLarge:
      return ListenerRejection::kBodyTooLarge;
    default:
      return ListenerRejection::kMalformed;
  }
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& aSocket,
                               const HttpListenerOptions& aOptions,
                               ConnectionLimits aLimits,
                               TimePoint aNow)
  : mOptions(aOptions)
  , mLimits(aLimits)
  , mSocket(aSocket)
  , mReader(MessageKind::kRequest, aLimits.mMessage)
  , mLastUse(aNow)
{
}

std::vector<PendingCallPtr>
HttpConnection::OnReadable(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  ReadAll(aNow);
  return TakeRunnable();
}

void
HttpConnection::ReadAll(TimePoint aNow)
{
  std::array<char, kReadChunkBytes> buffer{};
  while (mState != State::kClosed && mIn.size() < kMaxReadAheadBytes) {
    int size = 0;
    try {
      size = mSocket.receiveBytes(buffer.data(), buffer.size());
    } catch (const Poco::Exception&) {
      AbandonLocked(); // reset by the peer
      return;
    }
    if (size < 0) {
      return; // nothing more for now
    }
    if (size == 0) {
      AbandonLocked();
      return;
    }
    OnBytes({ buffer.data(), static_cast<std::size_t>(size) }, aNow);
    if (size < static_cast<int>(kReadChunkBytes)) {
      return;
    }
  }
}

void
HttpConnection::OnBytes(std::string_view aBytes, TimePoint aNow)
{
  mLastUse = aNow;
  if (mInputEnded || mState != State::kOpen) {
    return; // after the last request of this connection: discarded
  }
  mIn += aBytes;
  Parse(aNow);
}

void
HttpConnection::Parse(TimePoint aNow)
{
  std::size_t done = 0;
  while (done < mIn.size() && !mInputEnded &&
         mCalls.size() < static_cast<std::size_t>(mOptions.mPipelined)) {
    if (!mReader.HasStarted()) {
      mRequestStart = aNow;
    }
    const auto used = mReader.Feed(std::string_view(mIn).substr(done));
    if (!used) {
      Reject(RejectionOf(used.error()));
      break;
    }
    done += *used;
    if (!mReader.IsComplete()) {
      continue;
    }
    auto call = std::make_shared<PendingCall>();
    call->mClose = !mReader.KeepAlive();
    call->mCall = { .mHttp = mReader.TakeRequest(),
                    .mArrival = aNow,
                    .mCancelled = Cancellation::Make() };
    mInputEnded = call->mClose;
    mCalls.push_back(std::move(call));
    mReader.Next();
  }
  mIn.erase(0, done);
  ReleaseIfEmpty(mIn);
}

// Answers input that is not an acceptable request, and closes the connection.
void
HttpConnection::Reject(ListenerRejection aRejection)
{
  mInputEnded = true;
  auto call = std::make_shared<PendingCall>();
  call->mDispatched = true;
  call->mDone = true;
  call->mClose = true;
  call->mAnswer = MakeRejection(mOptions, aRejection).mAnswer;
  mCalls.push_back(std::move(call));
  Flush();
}

// Safe requests run concurrently. Any other request runs alone, after the ones
// before it have been answered: one of those may close the connection, and the
// requests after it are then discarded without being run.
std::vector<PendingCallPtr>
HttpConnection::TakeRunnable()
{
  std::vector<PendingCallPtr> runnable;
  for (std::size_t i = 0; i < mCalls.size(); ++i) {
    auto& call = mCalls[i];
    const bool safe = IsSafeMethod(call->mCall.mHttp.mMethod);
    if (call->mDispatched) {
      if (!call->mDone && !safe) {
        break;
      }
      continue;
    }
    if (!safe && i > 0) {
      break;
    }
    call->mDispatched = true;
    runnable.push_back(call);
    if (!safe) {
      break;
    }
  }
  return runnable;
}

std::vector<PendingCallPtr>
HttpConnection::Complete(const PendingCallPtr& aCall,
                         const HttpReply& aReply,
                         bool aDraining)
{
  const std::lock_guard lock(mMutex);
  aCall->mDone = true;
  aCall->mAnswer = aReply.mAnswer;
  if (aReply.mClose || aDraining) {
    EndAfterRunning();
  }
  if (mState != State::kOpen) {
    return {};
  }
  Flush();
  const auto now = Now();
  mLastUse = now;
  if (mState == State::kOpen) {
    Parse(now); // input that was held back by mPipelined
  }
  return TakeRunnable();
}

// Closes the connection after the requests that are running: these must be
// answered, as the handler may have forwarded them. Requests that were read and
// not started are discarded.
void
HttpConnection::EndAfterRunning()
{
  mInputEnded = true;
  mIn.clear();
  while (!mCalls.empty() && !mCalls.back()->mDispatched) {
    mCalls.pop_back();
  }
  if (!mCalls.empty()) {
    mCalls.back()->mClose = true;
  }
}

void
HttpConnection::Flush()
{
  if (mOut.empty()) {
    mLastSent = Now(); // the time for the peer to read starts here
  }
  while (!mCalls.empty() && mCalls.front()->mDone && mState == State::kOpen) {
    const auto call = mCalls.front();
    mCalls.pop_front();
    const bool head = call->mCall.mHttp.mMethod == "HEAD";
    mOut += ToWire(call->mAnswer, head, call->mClose);
    if (call->mClose) {
      assert(mCalls.empty()); // no request is accepted after it
      mState = State::kClosing;
    }
  }
  SendOut();
}

void
HttpConnection::SendOut()
{
  while (!mOut.empty() && mState != State::kClosed) {
    const auto sent =
      SendAvailable(mSocket, std::string_view(mOut).substr(mSent));
    if (!sent) {
      AbandonLocked();
      return;
    }
    if (*sent == 0) {
      return; // send buffer full; OnWritable continues
    }
    mSent += *sent;
    mLastUse = mLastSent = Now();
    if (mSent == mOut.size()) {
      mOut.clear();
      mSent = 0;
    }
  }
  ReleaseIfEmpty(mOut);
  if (mState == State::kClosing) {
    Linger();
  }
}

void
HttpConnection::Linger()
{
  mState = State::kLingering;
  mLingerUntil = Now() + kLingerTimeout;
  try {
    mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    AbandonLocked();
  }
}

void
HttpConnection::OnWritable()
{
  const std::lock_guard lock(mMutex);
  SendOut();
}

void
HttpConnection::CheckTimeouts(TimePoint aNow, bool aStopping)
{
  const std::lock_guard lock(mMutex);
  if (mState == State::kLingering && aNow >= mLingerUntil) {
    mState = State::kClosed;
  }
  if (!mOut.empty() && mState != State::kClosed) {
    if (aNow >= mLastSent + mOptions.mUnreadTimeout) {
      AbandonLocked();
    }
    return; // an answer that is being written keeps the connection
  }
  if (mState != State::kOpen || !mCalls.empty()) {
    return;
  }
  if (mReader.HasStarted()) {
    if (aNow >= mRequestStart + mLimits.mRead) {
      Reject(ListenerRejection::kRequestTimeout);
    }
  } else if (aStopping || aNow >= mLastUse + mLimits.mIdle) {
    AbandonLocked();
  }
}

ConnectionInterest
HttpConnection::Interest() const
{
  const std::lock_guard lock(mMutex);
  return { .mRead = mIn.size() < kMaxReadAheadBytes &&
                    mOut.size() - mSent < mOptions.mMaxUnsentBytes,
           .mWrite = !mOut.empty(),
           .mClosed = mState == State::kClosed };
}

void
HttpConnection::Abandon()
{
  const std::lock_guard lock(mMutex);
  AbandonLocked();
}

void
HttpConnection::AbandonLocked()
{
  mState = State::kClosed;
  mOut.clear();
  mSent = 0;
  for (const auto& call : mCalls) {
    call->mCall.mCancelled->Cancel();
  }
  mCalls.clear();
}

} // namespace porttiller
