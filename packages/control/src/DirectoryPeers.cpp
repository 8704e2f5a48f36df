// The part of DirectoryController that exchanges records with other boxes.
#include "porttiller/control/DirectoryController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/control/DirectoryCodec.h"

namespace porttiller {

namespace {

// A box sends its own record to a few boxes of each zone, which forward it
// within their zone.
constexpr GossipFanout kOwnRecordFanout{ .mOwnZone = 3, .mPerOtherZone = 2 };
// A server waits 1 s for its acknowledgement; the store is tried first.
constexpr Millis kAckPeerTimeout{ 300 };
constexpr std::size_t kAckPeers = 4;
// With two, the record also outlasts one of them.
constexpr std::size_t kAckCopies = 2;
constexpr Millis kPushTimeout{ 1000 };
// A digest difference that lasts longer is not due to a record in flight.
constexpr Millis kDigestDifferenceTime{ 1200 };
constexpr Millis kMinExchangeInterval{ 1000 };
// Requests of one exchange. The tree has 16 levels, of which each message and
// its answer pass two.
constexpr int kMaxExchangeRequests = 10;

} // namespace

void
DirectoryController::Push(const std::vector<BoxRecord>& aRecords,
                          const GossipFanout& aFanout)
{
  wire::Envelope message;
  *message.mutable_box_records() = EncodeRecords(aRecords);
  // The digests on probes reveal records that are lost.
  for (const auto& peer : mHooks.mSpreadPeers(aFanout)) {
    mTransport.SendOneWay(peer.mControlAddress, message);
  }
}

void
DirectoryController::PushOwn(const BoxRecord& aOwn)
{
  Push({ aOwn }, kOwnRecordFanout);
}

bool
DirectoryController::OnRecords(const wire::BoxRecords& aMessage)
{
  auto decoded = DecodeRecords(aMessage);
  mHooks.mOnUnreadable(decoded.mUnreadable);
  return mWorker.Post(
    [this, records = std::move(decoded.mRecords)] { Merge(records, "peer"); });
}

wire::Envelope
DirectoryController::OnDirectoryRequest(const wire::DirectoryRequest& aRequest)
{
  const auto theirs = DecodeVersions(aRequest.held());
  wire::Envelope reply;
  const std::lock_guard lock(mMutex);
  *reply.mutable_box_records() = EncodeRecords(mDirectory.NewerThan(theirs));
  if (mDirectory.LacksAnyOf(theirs)) {
    EncodeVersions(mDirectory.Versions(),
                   *reply.mutable_box_records()->mutable_held());
  }
  return reply;
}

void
DirectoryController::OnPeerDigest(const PeerRevision& aPeer)
{
  const auto now = Now();
  {
    const std::lock_guard lock(mMutex);
    if (aPeer.mDirectory == mDirectory.Digest()) {
      mDifferingDigest = 0;
      return;
    }
    if (mDifferingDigest == 0) {
      mDifferingDigest = aPeer.mDirectory;
      mDifferingSince = now;
    }
    if (now < mDifferingSince + kDigestDifferenceTime || now < mNextRequest) {
      return;
    }
    mNextRequest = now + kMinExchangeInterval;
  }
  Exchange(aPeer.mAddress);
}

DirectoryExchange
DirectoryController::AnswerExchange(const wire::DirectoryExchange& aMessage)
{
  auto decoded = DecodeExchange(aMessage);
  mHooks.mOnUnreadable(decoded.mUnreadable);
  if (!decoded.mExchange.mRecords.empty()) {
    mWorker.Post(
      [this, records = decoded.mExchange.mRecords] { Merge(records, "peer"); });
  }
  const std::lock_guard lock(mMutex);
  return mDirectory.Answer(decoded.mExchange);
}

wire::Envelope
DirectoryController::OnDirectoryExchange(
  const wire::DirectoryExchange& aMessage)
{
  wire::Envelope reply;
  *reply.mutable_directory_exchange() =
    EncodeExchange(AnswerExchange(aMessage));
  return reply;
}

void
DirectoryController::Exchange(const std::string& aAddress)
{
  DirectoryExchange first;
  {
    const std::lock_guard lock(mMutex);
    first = mDirectory.BeginExchange();
  }
  SendExchange(aAddress, first, kMaxExchangeRequests);
}

void
DirectoryController::SendExchange(const std::string& aAddress,
                                  const DirectoryExchange& aExchange,
                                  int aMessagesLeft)
{
  wire::Envelope request;
  *request.mutable_directory_exchange() = EncodeExchange(aExchange);
  mTransport.Send(
    aAddress,
    std::move(request),
    kPushTimeout,
    [this, aAddress, left = aMessagesLeft - 1](const PeerResult& aResult) {
      if (aResult && aResult->has_directory_exchange()) {
        OnExchangeReply(aAddress, aResult->directory_exchange(), left);
      }
    });
}

void
DirectoryController::OnExchangeReply(const std::string& aAddress,
                                     const wire::DirectoryExchange& aReply,
                                     int aMessagesLeft)
{
  const auto answer = AnswerExchange(aReply);
  if (answer.NeedsAnswer()) {
    if (aMessagesLeft > 0) {
      SendExchange(aAddress, answer, aMessagesLeft);
    }
    return;
  }
  if (!answer.mRecords.empty()) {
    wire::Envelope message;
    *message.mutable_box_records() = EncodeRecords(answer.mRecords);
    mTransport.SendOneWay(aAddress, std::move(message));
  }
}

void
DirectoryController::Request(const std::string& aAddress)
{
  wire::Envelope request;
  {
    const std::lock_guard lock(mMutex);
    EncodeVersions(mDirectory.Versions(),
                   *request.mutable_directory_request()->mutable_held());
  }
  mTransport.Send(aAddress,
                  std::move(request),
                  kPushTimeout,
                  [this, aAddress](const PeerResult& aResult) {
                    if (!aResult || !aResult->has_box_records()) {
                      return;
                    }
                    OnRecords(aResult->box_records());
                    const auto theirs =
                      DecodeVersions(aResult->box_records().held());
                    if (theirs.empty()) {
                      return;
                    }
                    wire::Envelope message;
                    {
                      const std::lock_guard lock(mMutex);
                      *message.mutable_box_records() =
                        EncodeRecords(mDirectory.NewerThan(theirs));
                    }
                    mTransport.SendOneWay(aAddress, std::move(message));
                  });
}

// Returns the number of peers that have confirmed the record, once there are
// kAckCopies or all have answered or timed out.
std::size_t
DirectoryController::StoreAtPeers(const BoxRecord& aRecord)
{
  struct Round
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::size_t mOpen = 0;
    std::size_t mCopies = 0;
  };
  const auto round = std::make_shared<Round>();
  const auto peers = mHooks.mRandomPeers(kAckPeers);
  round->mOpen = peers.size();
  wire::Envelope message;
  *message.mutable_box_records() = EncodeRecords({ aRecord });
  for (const auto& peer : peers) {
    mTransport.Send(peer.mControlAddress,
                    message,
                    kAckPeerTimeout,
                    [round](const PeerResult& aResult) {
                      const std::lock_guard lock(round->mMutex);
                      --round->mOpen;
                      round->mCopies += aResult ? 1 : 0;
                      round->mChanged.notify_all();
                    });
  }
  std::unique_lock lock(round->mMutex);
  round->mChanged.wait(
    lock, [&] { return round->mCopies >= kAckCopies || round->mOpen == 0; });
  return round->mCopies;
}

} // namespace porttiller
