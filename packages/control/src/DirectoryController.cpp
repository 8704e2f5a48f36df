#include "porttiller/control/DirectoryController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/Timestamp.h>
#include <algorithm>

namespace porttiller {

namespace {

// A box sends its own record to a few boxes of each zone, which pass it on
// within the zone: at 30 boxes 4 copies cross zones, by random receivers 80 do.
constexpr SpreadOptions kOwnNews{ .mOwnZone = 3, .mPerOtherZone = 2 };
constexpr SpreadOptions kOnwards{ .mOwnZone = 3 };
constexpr Millis kRetryWait{ 700 };
// Calls to a store that fails are spread out.
constexpr Millis kMaxRetryWait{ 2000 };
// At the very first start of all, boxes that have written their records wait up
// to so long for records of others, and read the list if none come. Each box
// that lists sends to eleven others, so few do.
constexpr Millis kListSpread{ 1500 };
// One box of a zone reads the list again, so that parts of the fleet that never
// heard of each other meet.
constexpr Millis kListAgain{ 30'000 };
// At the very first start the box waits for its server's first heartbeat, so
// that one write has both.
constexpr Millis kFirstHeartbeatWait{ 2600 };
// A box that nobody answers works with its own server's messages alone.
constexpr Millis kStartPatience{ 3000 };

std::uint64_t
WallClockMicros()
{
  return static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
}

} // namespace

const char*
ToText(RegistrationError aError)
{
  switch (aError) {
    case RegistrationError::kStarting:
      return "starting";
    case RegistrationError::kNotKept:
      return "not-kept";
    case RegistrationError::kForeign:
      break;
  }
  return "foreign";
}

DirectoryController::DirectoryController(const Settings& aSettings,
                                         Incarnation aIncarnation,
                                         PeerTransport& aTransport,
                                         DirectoryHooks aHooks)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mHooks(std::move(aHooks))
  , mStarted(Now())
  , mStore(aSettings, mHooks.mOnUnreadable)
{
  mOwn.mBox = { .mName = aSettings.mBox,
                .mZone = aSettings.mZone,
                .mHomeAddress = aSettings.mPeers.mHomeAddress,
                .mControlAddress = aSettings.mPeers.mControlAddress };
  mOwn.mIncarnation = aIncarnation;
  mOwn.mRevision = WallClockMicros();
}

DirectoryController::~DirectoryController()
{
  Stop();
}

void
DirectoryController::Start()
{
  {
    const std::lock_guard lock(mMutex);
    mDirectory.Merge(mOwn);
  }
  // Whatever peers or the server said before now had nobody to hear it.
  Publish();
  mThread = std::thread([this] { Run(); });
}

void
DirectoryController::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStop = true;
    mWake.notify_all();
  }
  mStore.Abort();
  mWorker.Stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::uint64_t
DirectoryController::Digest() const
{
  const std::lock_guard lock(mMutex);
  return mDirectory.Digest();
}

bool
DirectoryController::Usable() const
{
  if (mLoaded || Now() >= mStarted + kStartPatience) {
    return true;
  }
  const std::lock_guard lock(mMutex);
  return mDirectory.Size() > 1; // peers have answered
}

void
DirectoryController::Sleep(Millis aTime)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, aTime, [this] {
    return mStop || (mLoaded && mWritten < mOwn.mRevision);
  });
}

// Loads what is known, then keeps the own record in the store up to date.
void
DirectoryController::Run()
{
  if (mSettings.mRegistration.mFirstStart) {
    std::unique_lock lock(mMutex);
    mWake.wait_for(
      lock, kFirstHeartbeatWait, [this] { return mStop || mServerKnown; });
  }
  auto wait = kRetryWait;
  while (!mStop && !LoadFromStore()) {
    AskSeeds();
    Sleep(wait);
    wait = std::min(2 * wait, kMaxRetryWait);
  }
  KeepUpToDate();
}

void
DirectoryController::KeepUpToDate()
{
  auto wait = kRetryWait;
  auto nextList = Now() + kListAgain;
  while (!mStop) {
    {
      std::unique_lock lock(mMutex);
      mWake.wait_until(
        lock, nextList, [this] { return mStop || mWritten < mOwn.mRevision; });
    }
    if (!mStop && Now() >= nextList) {
      nextList = Now() + kListAgain;
      if (mHooks.mReadsList()) {
        ReadList();
      }
    }
    if (mStop || WriteOwn(false)) {
      wait = kRetryWait;
      continue;
    }
    std::unique_lock lock(mMutex);
    mWake.wait_for(lock, wait, [this] { return mStop.load(); });
    wait = std::min(2 * wait, kMaxRetryWait);
  }
}

// The own record is written before the list is read: of two boxes that start
// together the later reader then sees the other one, and tells it.
bool
DirectoryController::LoadFromStore()
{
  if (!mSettings.mRegistration.mFirstStart && !ReadOwn()) {
    return false;
  }
  if (!WriteOwn(false)) {
    return false;
  }
  if (!LearnFromPeers() && !ReadList()) {
    return false;
  }
  mLoaded = true;
  // Also when nothing brought news: the own server may be one.
  Publish();
  BoxRecord own;
  {
    const std::lock_guard lock(mMutex);
    own = mOwn;
  }
  Push({ own }, kOwnNews);
  return true;
}

// What an earlier life of this box has left.
bool
DirectoryController::ReadOwn()
{
  const auto own = mStore.ReadOwn();
  if (own && *own) {
    const std::lock_guard lock(mMutex);
    Adopt(**own);
  }
  return own.has_value();
}

// At the very first start of all: true once a peer has told of other boxes. The
// rest comes by digests, and the list, which is as long as the fleet, need not
// be read. Later a box reads it at once: after a loss of all power every moment
// until it knows the others is lost to its callers.
bool
DirectoryController::LearnFromPeers()
{
  if (!mSettings.mRegistration.mFirstStart) {
    return false;
  }
  const auto span = static_cast<std::uint64_t>(kListSpread.count());
  const auto patience = Millis(static_cast<Millis::rep>(Random() % span));
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, patience, [this] { return mStop || mHeardPeer; });
  return mHeardPeer;
}

bool
DirectoryController::ReadList()
{
  const auto records = mStore.ReadAll();
  if (records) {
    Merge(*records, "store");
  }
  return records.has_value();
}

// True once the store holds the newest own record.
bool
DirectoryController::WriteOwn(bool aForAck)
{
  const std::lock_guard writeLock(mWriteMutex);
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    if (mWritten >= mOwn.mRevision) {
      return true;
    }
    record = mOwn;
  }
  const auto write = mStore.Write(record, aForAck);
  const std::lock_guard lock(mMutex);
  if (write.mEarlier) {
    Adopt(*write.mEarlier);
  }
  if (write.mWritten) {
    mWritten = std::max(mWritten, record.mRevision);
  }
  return write.mWritten;
}

// Goes on from the record of an earlier life. Under mMutex.
void
DirectoryController::Adopt(const BoxRecord& aOwn)
{
  if (aOwn.mServer) {
    mRegistrar.Restore(*aOwn.mServer);
    mOwn.mServer = mRegistrar.Server();
  }
  if (aOwn.mRevision >= mOwn.mRevision) {
    // That life's clock was ahead of this one's.
    mOwn.mRevision = aOwn.mRevision;
  }
  RaiseOwn();
}

// Under mMutex; the next write and message carry the new revision.
void
DirectoryController::RaiseOwn()
{
  mOwn.mRevision = std::max(mOwn.mRevision + 1, WallClockMicros());
  mDirectory.Merge(mOwn);
  mWake.notify_all();
}

void
DirectoryController::AskSeeds()
{
  for (const auto& seed : SeedAddresses(mSettings)) {
    Request(seed);
  }
}

void
DirectoryController::Merge(const std::vector<BoxRecord>& aRecords,
                           const char* aSource)
{
  const bool fromPeer = std::string_view(aSource) == "peer";
  std::vector<BoxRecord> news;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& record : aRecords) {
      const bool own = record.mBox.mName == mSettings.mBox;
      if (fromPeer && !own && !mHeardPeer) {
        mHeardPeer = true;
        mWake.notify_all();
      }
      if (own && record.mIncarnation != mOwn.mIncarnation) {
        if (record.mRevision >= mOwn.mRevision) {
          Adopt(record);
          news.push_back(mOwn);
        }
      } else if (mDirectory.Merge(record)) {
        news.push_back(record);
      }
    }
    if (fromPeer) {
      for (const auto& record : news) {
        mOnwards.insert_or_assign(record.mBox.mName, record);
      }
    }
  }
  if (news.empty()) {
    return;
  }
  for (const auto& record : news) {
    LogLine(LogLevel::kInfo, "box_record")
      .With("of", record.mBox.mName.Value())
      .With("revision", std::to_string(record.mRevision))
      .With("source", aSource)
      .With("leaving", record.mBox.mState == BoxState::kLeaving ? "yes" : "no")
      .With("server",
            record.mServer ? record.mServer->mIncarnation.ToString() : "")
      .With("state", record.mServer ? ToText(record.mServer->mState) : "");
  }
  PlanBatch();
}

void
DirectoryController::PlanBatch()
{
  std::optional<Millis> delay;
  {
    const std::lock_guard lock(mMutex);
    delay = mBatcher.OnChange(Now());
  }
  if (delay && !mWorker.PostAfter(*delay, [this] { PublishBatch(); })) {
    PublishBatch(); // the worker is full or stopping
  }
}

void
DirectoryController::PublishBatch()
{
  std::vector<BoxRecord> onwards;
  {
    const std::lock_guard lock(mMutex);
    mBatcher.OnBatch(Now());
    onwards.reserve(mOnwards.size());
    for (auto& [box, record] : mOnwards) {
      onwards.push_back(std::move(record));
    }
    mOnwards.clear();
  }
  Publish();
  if (!onwards.empty()) {
    Push(onwards, kOnwards);
  }
  const std::lock_guard lock(mMutex);
  mBatcher.OnBatchDone(Now());
}

void
DirectoryController::Publish()
{
  const std::lock_guard publishLock(mPublishMutex);
  std::vector<BoxRecord> records;
  {
    const std::lock_guard lock(mMutex);
    records = mDirectory.InUse();
  }
  mHooks.mOnChange(std::move(records));
}

tl::expected<void, RegistrationError>
DirectoryController::Take(const ServerMessage& aMessage)
{
  if (!mSettings.mRegistration.mFirstStart && !Usable()) {
    return tl::make_unexpected(RegistrationError::kStarting);
  }
  RegistrarVerdict verdict{};
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    verdict = mRegistrar.Take(aMessage);
    mServerKnown = true;
    mWake.notify_all();
    if (verdict == RegistrarVerdict::kForeign) {
      return tl::make_unexpected(RegistrationError::kForeign);
    }
    if (verdict == RegistrarVerdict::kNothingNew) {
      return {};
    }
    mOwn.mServer = mRegistrar.Server();
    RaiseOwn();
    record = mOwn;
  }
  LogServer(aMessage, verdict);
  if (verdict == RegistrarVerdict::kLeaving) {
    mHooks.mOnServerLeaving(record.mServer->mIncarnation);
  }
  PlanBatch();
  Push({ record }, kOwnNews);
  if (verdict == RegistrarVerdict::kLeaving && !Keep(record)) {
    return tl::make_unexpected(RegistrationError::kNotKept);
  }
  return {};
}

void
DirectoryController::LogServer(const ServerMessage& aMessage,
                               RegistrarVerdict aVerdict)
{
  const auto& server = aMessage.mServer;
  LogLine(LogLevel::kInfo, "server_message")
    .With("server", server.mIncarnation.ToString())
    .With("service", server.mService.Value())
    .With("state", ToText(server.mState))
    .With("sequence", static_cast<std::int64_t>(server.mSequence))
    .With("verdict",
          aVerdict == RegistrarVerdict::kLeaving ? "leaving" : "new");
}

// Sees to it that a next life of this box knows the record.
bool
DirectoryController::Keep(const BoxRecord& aRecord)
{
  return WriteOwn(true) || KeepAtPeers(aRecord);
}

void
DirectoryController::Leave()
{
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    mOwn.mBox.mState = BoxState::kLeaving;
    mOwn.mRevision = std::max(mOwn.mRevision + 1, WallClockMicros());
    mWritten = mOwn.mRevision; // peers are enough: a next life writes its own
    mDirectory.Merge(mOwn);
    record = mOwn;
  }
  Push({ record }, kOwnNews);
}

} // namespace porttiller
