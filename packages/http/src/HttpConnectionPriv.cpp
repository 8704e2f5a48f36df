#include "HttpConnectionPriv.h"

#include "ListenerRejectionPriv.h"
#include "SocketsPriv.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace porttiller {

namespace {

constexpr std::size_t kReadChunkBytes = 16 << 10;
// Unparsed input of a connection at which reading pauses.
constexpr std::size_t kMaxReadAheadBytes = 64 << 10;
// Bodies in the line for room. The system holds what has arrived of each, as
// their connections are not read.
constexpr std::size_t kMaxWaitingBodies = 64;
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
    case MessageFault::kNoMemory:
      return ListenerRejection::kNoMemory;
    default:
      return ListenerRejection::kMalformed;
  }
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& aSocket,
                               const HttpListenerOptions& aOptions,
                               UnsentBudget& aUnsent,
                               const LimitsInForce& aLimits,
                               TimePoint aNow)
  : mOptions(aOptions)
  , mUnsent(aUnsent)
  , mLimits(aLimits)
  , mSocket(aSocket)
  , mReader(MessageKind::kRequest,
            aLimits.Current().mMessage,
            aOptions.mBodyBudget)
  , mLastUse(aNow)
  , mProgress(aOptions)
{
}

HttpConnection::~HttpConnection()
{
  mUnsent.Change(mReported, 0);
}

std::vector<RunnableCall>
HttpConnection::OnReadable(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  ReadAll(aNow);
  return mCalls.TakeRunnable(mHasRead);
}

void
HttpConnection::ReadAll(TimePoint aNow)
{
  std::array<char, kReadChunkBytes> buffer{};
  while (mState != State::kClosed && mIn.size() < kMaxReadAheadBytes &&
         !mReader.NeedsRoom()) {
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

std::vector<RunnableCall>
HttpConnection::OnRoom(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mReader.NeedsRoom() || mInputEnded || mState != State::kOpen) {
    return {};
  }
  Parse(aNow);
  return mCalls.TakeRunnable(mHasRead);
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
  mReader.SetLimits(mLimits.Current().mMessage);
  std::size_t done = 0;
  while (done < mIn.size() && !mInputEnded &&
         mCalls.Size() < static_cast<std::size_t>(mOptions.mPipelined)) {
    if (!mReader.HasStarted()) {
      mRequestStart = aNow;
    }
    const bool waited = mReader.NeedsRoom();
    const auto used = mReader.Feed(std::string_view(mIn).substr(done));
    if (!used) {
      Reject(RejectionOf(used.error()));
      break;
    }
    done += *used;
    if (mReader.NeedsRoom()) {
      mRoomSince = waited ? mRoomSince : aNow;
      if (mOptions.mBodyBudget->Waiting() > kMaxWaitingBodies) {
        Reject(ListenerRejection::kNoMemory);
      }
      break; // OnRoom continues
    }
    if (waited) {
      mRequestStart = mRoomSince = aNow;
    }
    if (!mReader.IsComplete()) {
      continue;
    }
    mInputEnded = !mReader.KeepAlive();
    mCalls.Push({ .mHttp = mReader.TakeRequest(), .mArrival = aNow },
                mInputEnded);
    mReader.Next();
  }
  mIn.erase(0, mInputEnded ? std::string::npos : done);
  ReleaseIfEmpty(mIn);
}

// Answers input that is not an acceptable request, and closes the connection.
void
HttpConnection::Reject(ListenerRejection aRejection)
{
  mInputEnded = true;
  mCalls.PushAnswer(MakeRejection(mOptions, aRejection).mAnswer);
  mReader.Next(); // returns the room of an unfinished body
  Flush();
}

std::vector<RunnableCall>
HttpConnection::Complete(std::uint64_t aCall,
                         const HttpReply& aReply,
                         bool aDraining)
{
  const std::lock_guard lock(mMutex);
  const auto& body = aReply.mAnswer.mBody;
  // One that does not fit keeps the room that was reserved to read it.
  if (mOptions.mUnsentBudget > 0 && mUnsent.TryAdd(body.Size())) {
    mReported += body.Size();
    body.ReleaseReservation();
  }
  mCalls.SetAnswer(aCall, aReply.mAnswer);
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
  return mCalls.TakeRunnable(mHasRead);
}

// Closes the connection after the requests that are running: these must be
// answered, as the handler may have forwarded them. Requests that were read and
// not started are discarded.
void
HttpConnection::EndAfterRunning()
{
  mInputEnded = true;
  mIn.clear();
  mReader.Next(); // returns the room of an unfinished body
  mCalls.DiscardWaiting();
}

void
HttpConnection::Flush()
{
  while (mState == State::kOpen) {
    const auto due = mCalls.TakeAnswer();
    if (!due) {
      break;
    }
    const auto& answer = due->mAnswer;
    const bool bodyless = due->mHeadOnly || IsBodyless(answer.mStatus);
    mOut.Push(HeadToWire(answer, due->mClose),
              bodyless ? Body() : answer.mBody);
    if (due->mClose) {
      assert(mCalls.Empty()); // no request is accepted after it
      mState = State::kClosing;
    }
  }
  SendOut();
}

void
HttpConnection::SendOut()
{
  while (!mOut.Empty() && mState != State::kClosed) {
    const auto sent = SendAvailable(mSocket, mOut.Parts());
    if (!sent) {
      AbandonLocked();
      return;
    }
    if (*sent == 0) { // send buffer full; OnWritable continues
      if (!std::exchange(mWaiting, true)) {
        mProgress.Start(Now(), BytesRead());
      }
      SampleSendBuffer();
      return;
    }
    mOut.OnSent(*sent);
    mSentInAll += *sent;
    mLastUse = Now();
    if (mOut.Empty()) {
      mWaiting = false;
      mHasRead = true;
    }
  }
  ReportUnsent();
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
  SampleSendBuffer();
  if (mState == State::kLingering && aNow >= mLingerUntil) {
    mState = State::kClosed;
  }
  if (mState == State::kOpen && DelaysOthers(aNow)) {
    Reject(mReader.NeedsRoom() ? ListenerRejection::kNoMemory
                               : ListenerRejection::kRequestTimeout);
  }
  mCalls.ReplaceDelaying([this] {
    return MakeRejection(mOptions, ListenerRejection::kAnswerNoMemory).mAnswer;
  });
  if (!mOut.Empty() && mState != State::kClosed) {
    if (const auto slow = mProgress.Check(aNow, BytesRead())) {
      AbandonLocked();
      if (mOptions.mOnSlowReader) {
        mOptions.mOnSlowReader(*slow);
      }
    }
    return; // an answer that is being written keeps the connection
  }
  if (mState != State::kOpen || !mCalls.Empty()) {
    return;
  }
  const auto limits = mLimits.Current();
  if (mReader.HasStarted() && !mReader.NeedsRoom()) {
    if (aNow >= mRequestStart + limits.mRead) {
      Reject(ListenerRejection::kRequestTimeout);
    }
  } else if (!mReader.HasStarted() &&
             (aStopping || aNow >= mLastUse + limits.mIdle)) {
    AbandonLocked();
  }
}

// Whether the body of the current message stands in the line for room for too
// long, or arrives too slowly while others wait for the room that it has.
bool
HttpConnection::DelaysOthers(TimePoint aNow) const
{
  if (mReader.NeedsRoom()) {
    return aNow >= mRoomSince + mOptions.mRoomTimeout;
  }
  const std::chrono::duration<double> held = aNow - mRequestStart;
  return mReader.DelaysOthers() && held >= mOptions.mBodyRateGrace &&
         static_cast<double>(mReader.BodyBytes()) <
           static_cast<double>(mOptions.mMinBodyRate) * held.count();
}

ConnectionInterest
HttpConnection::Interest() const
{
  const std::lock_guard lock(mMutex);
  return { .mRead = mIn.size() < kMaxReadAheadBytes &&
                    mOut.Bytes() < mOptions.mMaxUnsentBytes &&
                    !mReader.NeedsRoom(),
           .mWrite = !mOut.Empty(),
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
  mOut.Clear();
  mReader.Next(); // returns the room of an unfinished body
  mCalls.CancelAll();
  mInSendBuffer = 0;
  ReportUnsent();
}

// Called in sweeps, and when the send buffer is full; not for each answer, as
// nearly all are on their way to a peer that reads them.
void
HttpConnection::SampleSendBuffer()
{
  if (mOptions.mUnsentBudget > 0 && mState != State::kClosed) {
    mInSendBuffer = UnacknowledgedBytes(mSocket);
  }
  ReportUnsent();
}

// Acknowledged bytes. Those in the send buffer are not read: the system asks
// for more only when a third of that is free, which takes a reader of 1 KB/s
// longer than mUnreadTimeout.
std::uint64_t
HttpConnection::BytesRead() const
{
  return mSentInAll - UnacknowledgedBytes(mSocket);
}

// Counts the answers that are held: those that are being written, those that
// wait for the answer of an earlier request, and the bytes in the send buffer.
void
HttpConnection::ReportUnsent()
{
  const auto held = mOut.HeldBytes() + mInSendBuffer + mCalls.AnswerBytes();
  mUnsent.Change(mReported, held);
  mReported = held;
}

} // namespace porttiller
