#include "HttpConnectionPriv.h"

#include "ListenerRefusalPriv.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cassert>

namespace porttiller {

namespace {

constexpr std::size_t kReadChunk = 16 << 10;
// Read ahead of the message at hand; a sender of more has to wait.
constexpr std::size_t kMaxReadAhead = 64 << 10;
// For the other side to take the last answer and close: a close with unread
// bytes would reset the connection and could destroy that answer.
constexpr Millis kLinger{ 1000 };

// Most connections rest most of the time, and a box of a large fleet holds
// hundreds: a buffer as large as the last message would stay with each.
void
ReleaseIfEmpty(std::string& aBuffer)
{
  if (aBuffer.empty()) {
    aBuffer.shrink_to_fit();
  }
}

ListenerRefusal
RefusalOf(MessageFault aFault)
{
  switch (aFault) {
    case MessageFault::kHeadTooLarge:
      return ListenerRefusal::kHeadTooLarge;
    case MessageFault::kBodyTooLarge:
      return ListenerRefusal::kBodyTooLarge;
    default:
      return ListenerRefusal::kMalformed;
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
  std::array<char, kReadChunk> buffer{};
  while (mState != State::kOver && mIn.size() < kMaxReadAhead) {
    int size = 0;
    try {
      size = mSocket.receiveBytes(buffer.data(), buffer.size());
    } catch (const Poco::Exception&) {
      AbandonLocked(); // reset by the other side
      return;
    }
    if (size < 0) {
      return; // nothing more for now
    }
    if (size == 0) {
      AbandonLocked();
      return;
    }
    Take({ buffer.data(), static_cast<std::size_t>(size) }, aNow);
    if (size < static_cast<int>(kReadChunk)) {
      return;
    }
  }
}

void
HttpConnection::Take(std::string_view aBytes, TimePoint aNow)
{
  mLastUse = aNow;
  if (mReadOver || mState != State::kOpen) {
    return; // sent behind the end of this connection: counts as unread
  }
  mIn += aBytes;
  Parse(aNow);
}

void
HttpConnection::Parse(TimePoint aNow)
{
  std::size_t done = 0;
  while (done < mIn.size() && !mReadOver &&
         mCalls.size() < static_cast<std::size_t>(mOptions.mPipelined)) {
    if (!mReader.Begun()) {
      mBegan = aNow;
    }
    const auto used = mReader.Feed(std::string_view(mIn).substr(done));
    if (!used) {
      Refuse(RefusalOf(used.error()));
      break;
    }
    done += *used;
    if (!mReader.Whole()) {
      continue;
    }
    auto call = std::make_shared<PendingCall>();
    call->mClose = !mReader.KeepAlive();
    call->mCall = { .mHttp = mReader.TakeRequest(),
                    .mArrival = aNow,
                    .mCancelled = Cancellation::Make() };
    mReadOver = call->mClose;
    mCalls.push_back(std::move(call));
    mReader.Next();
  }
  mIn.erase(0, done);
  ReleaseIfEmpty(mIn);
}

// Ends the connection with an answer to what could not be read as a request.
void
HttpConnection::Refuse(ListenerRefusal aRefusal)
{
  mReadOver = true;
  auto call = std::make_shared<PendingCall>();
  call->mDispatched = true;
  call->mDone = true;
  call->mClose = true;
  call->mAnswer = MakeRefusal(mOptions, aRefusal).mAnswer;
  mCalls.push_back(std::move(call));
  Flush();
}

// Safe requests run side by side; any other one runs alone, after those before
// it have their answers: one of them may end the connection, and then what was
// sent behind it counts as unread.
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
    Parse(now); // what had to wait for its turn
  }
  return TakeRunnable();
}

// Requests that run have been passed on and are owed their answers. The last
// of them ends the connection; what was read behind it counts as unread.
void
HttpConnection::EndAfterRunning()
{
  mReadOver = true;
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
  while (!mCalls.empty() && mCalls.front()->mDone && mState == State::kOpen) {
    const auto call = mCalls.front();
    mCalls.pop_front();
    const bool head = call->mCall.mHttp.mMethod == "HEAD";
    mOut += ToWire(call->mAnswer, head, call->mClose);
    if (call->mClose) {
      assert(mCalls.empty()); // nothing is taken behind it
      mState = State::kClosing;
    }
  }
  SendOut();
}

void
HttpConnection::SendOut()
{
  while (!mOut.empty() && mState != State::kOver) {
    int sent = 0;
    try {
      sent = mSocket.sendBytes(mOut.data(), static_cast<int>(mOut.size()));
    } catch (const Poco::Exception&) {
      AbandonLocked();
      return;
    }
    if (sent <= 0) {
      return; // the other side does not read; OnWritable goes on
    }
    mOut.erase(0, static_cast<std::size_t>(sent));
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
  mLingerUntil = Now() + kLinger;
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
HttpConnection::OnTime(TimePoint aNow, bool aStopping)
{
  const std::lock_guard lock(mMutex);
  if (mState == State::kLingering && aNow >= mLingerUntil) {
    mState = State::kOver;
  }
  if (mState != State::kOpen || !mCalls.empty()) {
    return;
  }
  if (mReader.Begun()) {
    if (aNow >= mBegan + mLimits.mRead) {
      Refuse(ListenerRefusal::kSlowHead);
    }
  } else if (aStopping || aNow >= mLastUse + mLimits.mIdle) {
    AbandonLocked();
  }
}

ConnectionWants
HttpConnection::Wants() const
{
  const std::lock_guard lock(mMutex);
  return { .mRead = mIn.size() < kMaxReadAhead,
           .mWrite = !mOut.empty(),
           .mOver = mState == State::kOver };
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
  mState = State::kOver;
  mOut.clear();
  for (const auto& call : mCalls) {
    call->mCall.mCancelled->Cancel();
  }
  mCalls.clear();
}

} // namespace porttiller
