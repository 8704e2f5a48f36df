#include "porttiller/control/DirectoryController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/Timestamp.h>

namespace porttiller {

namespace {

// Receivers of a record that a box forwards within its zone.
constexpr GossipFanout kForwardFanout{ .mOwnZone = 3 };
// After this time without an answer a box works with its own server's messages
// alone.
constexpr Millis kMaxLoadWait{ 3000 };

} // namespace

const char*
ToText(RegistrationError aError)
{
  switch (aError) {
    case RegistrationError::kStarting:
      return "starting";
    case RegistrationError::kNotStored:
      return "not-kept";
    case RegistrationError::kForeign:
      break;
  }
  return "foreign";
}

std::uint64_t
DirectoryController::WallClockMicros()
{
  return static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
}

DirectoryController::DirectoryController(const Settings& aSettings,
                                         Incarnation aIncarnation,
                                         PeerTransport& aTransport,
                                         DirectoryHooks aHooks)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mHooks(std::move(aHooks))
  , mOwn({ .mName = aSettings.mBox,
           .mZone = aSettings.mZone,
           .mHomeAddress = aSettings.mPeers.mHomeAddress,
           .mControlAddress = aSettings.mPeers.mControlAddress },
         aIncarnation,
         WallClockMicros())
  , mStarted(Now())
  , mStore(aSettings, mHooks.mOnUnreadable)
{
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
    mDirectory.Merge(mOwn.Record());
  }
  // Messages that arrived before Start were not published.
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
  if (mLoaded || Now() >= mStarted + kMaxLoadWait) {
    return true;
  }
  const std::lock_guard lock(mMutex);
  return mDirectory.Size() > 1; // peers have answered
}

// After each change of the own record. Under mMutex.
void
DirectoryController::OnOwnChanged()
{
  mDirectory.Merge(mOwn.Record());
  mWake.notify_all();
}

// Returns true if the own record has changed. Under mMutex.
bool
DirectoryController::LearnOwn(const BoxRecord& aHeld, const char* aSource)
{
  const bool changed = mOwn.Learn(aHeld, WallClockMicros());
  if (changed) {
    OnOwnChanged();
  } else {
    mWake.notify_all(); // its server may have to be confirmed
  }
  if (changed || aHeld.mIncarnation != mOwn.Record().mIncarnation) {
    LogOwnRecord(aHeld, aSource, changed);
  }
  return changed;
}

// Logs what another holder knows of this box from before its restart, and
// whether it says more than this process knew. Under mMutex.
void
DirectoryController::LogOwnRecord(const BoxRecord& aHeld,
                                  const char* aSource,
                                  bool aChanged) const
{
  const auto& server = aHeld.mServer;
  LogLine(LogLevel::kInfo, "own_record")
    .With("source", aSource)
    .With("revision", std::to_string(aHeld.mRevision))
    .With("own_revision", std::to_string(mOwn.Record().mRevision))
    .With("server", server ? server->mIncarnation.ToString() : "")
    .With("state", server ? ToText(server->mState) : "")
    .With("changed", aChanged ? "yes" : "no");
}

void
DirectoryController::Merge(const std::vector<BoxRecord>& aRecords,
                           const char* aSource)
{
  const bool fromPeer = std::string_view(aSource) == "peer";
  std::vector<BoxRecord> newer;
  // Records whose owners don't know that their server leaves.
  std::vector<BoxRecord> joined;
  std::optional<BoxRecord> own;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& record : aRecords) {
      if (record.mBox.mName == mSettings.mBox) {
        if (LearnOwn(record, aSource)) {
          own = mOwn.Record();
        }
        continue;
      }
      if (fromPeer && !mLearnedFromPeer) {
        mLearnedFromPeer = true;
        mWake.notify_all();
      }
      if (const auto* held = mDirectory.Merge(record)) {
        newer.push_back(*held);
        if (*held != record) {
          joined.push_back(*held);
        }
      }
    }
    if (fromPeer) {
      for (const auto& record : newer) {
        mToForward.insert_or_assign(record.mBox.mName, record);
      }
    }
  }
  for (const auto& record : joined) {
    wire::Envelope message;
    *message.mutable_box_records() = EncodeRecords({ record });
    mTransport.SendOneWay(record.mBox.mControlAddress, std::move(message));
  }
  if (own) {
    AnnounceOwn(*own);
    newer.push_back(*own);
  }
  if (newer.empty()) {
    return;
  }
  for (const auto& record : newer) {
    LogLine(LogLevel::kInfo, "box_record")
      .With("of", record.mBox.mName.Value())
      .With("revision", std::to_string(record.mRevision))
      .With("source", aSource)
      .With("leaving", record.mBox.mState == BoxState::kLeaving ? "yes" : "no")
      .With("server",
            record.mServer ? record.mServer->mIncarnation.ToString() : "")
      .With("state", record.mServer ? ToText(record.mServer->mState) : "");
  }
  ScheduleBatch();
}

void
DirectoryController::ScheduleBatch()
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
  std::vector<BoxRecord> toForward;
  {
    const std::lock_guard lock(mMutex);
    mBatcher.OnBatch(Now());
    toForward.reserve(mToForward.size());
    for (auto& [box, record] : mToForward) {
      toForward.push_back(std::move(record));
    }
    mToForward.clear();
  }
  Publish();
  if (!toForward.empty()) {
    Push(toForward, kForwardFanout);
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
  const bool restarted = !mSettings.mRegistration.mFirstStart;
  if (restarted && !Usable()) {
    return tl::make_unexpected(RegistrationError::kStarting);
  }
  const bool leaves = aMessage.mServer.mState != ServerState::kReady;
  RegistrarVerdict verdict{};
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    if (leaves && restarted && !mLoaded &&
        !mOwn.Knows(aMessage.mServer.mIncarnation.Id())) {
      // Nothing that another holder could keep says who it is.
      return tl::make_unexpected(RegistrationError::kStarting);
    }
    verdict = mOwn.Take(aMessage, WallClockMicros());
    mServerMessageSeen = true;
    mWake.notify_all();
    if (verdict == RegistrarVerdict::kForeign) {
      return tl::make_unexpected(RegistrationError::kForeign);
    }
    const bool isNew = verdict != RegistrarVerdict::kNothingNew;
    if (!isNew && (!leaves || mOwn.IsStateHeld())) {
      return {};
    }
    if (isNew) {
      OnOwnChanged();
    }
    record = mOwn.Record();
  }
  if (verdict != RegistrarVerdict::kNothingNew) {
    LogServerMessage(aMessage, verdict);
    AnnounceOwn(record);
  }
  if (leaves && !StoreDurably(record)) {
    return tl::make_unexpected(RegistrationError::kNotStored);
  }
  return {};
}

// Applies a new own record here and sends it to peers.
void
DirectoryController::AnnounceOwn(const BoxRecord& aOwn)
{
  if (aOwn.mServer && aOwn.mServer->mState != ServerState::kReady) {
    mHooks.mOnServerLeaving(aOwn.mServer->mIncarnation);
  }
  ScheduleBatch();
  PushOwn(aOwn);
}

// The store's thread writes the record.
void
DirectoryController::OnServerSaysLeaving(const ServerIncarnation& aServer)
{
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    const auto& server = mOwn.Record().mServer;
    if (!server || server->mIncarnation != aServer) {
      return;
    }
    ServerMessage message{ .mServer = *server };
    message.mServer.mState = ServerState::kDraining;
    if (mOwn.Take(message, WallClockMicros()) != RegistrarVerdict::kLeaving) {
      return;
    }
    OnOwnChanged();
    record = mOwn.Record();
  }
  AnnounceOwn(record);
}

void
DirectoryController::LogServerMessage(const ServerMessage& aMessage,
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

// True once another holder has confirmed the record.
bool
DirectoryController::StoreDurably(const BoxRecord& aRecord)
{
  const bool stored = WriteOwn(true);
  const auto peers = stored ? 0 : StoreAtPeers(aRecord);
  LogLine(LogLevel::kInfo, "own_record_kept")
    .With("revision", std::to_string(aRecord.mRevision))
    .With("store", stored ? "yes" : "no")
    .With("peers", static_cast<std::int64_t>(peers));
  if (peers > 0) {
    const std::lock_guard lock(mMutex);
    mOwn.OnHeldByPeers(aRecord.mRevision);
  }
  return stored || peers > 0;
}

void
DirectoryController::Leave()
{
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    LogLine(LogLevel::kInfo, "box_leaving")
      .With("revision", std::to_string(mOwn.Record().mRevision))
      .With("stored_revision", std::to_string(mOwn.StoredRevision()));
    mOwn.Leave(WallClockMicros());
    OnOwnChanged();
    record = mOwn.Record();
  }
  PushOwn(record);
}

} // namespace porttiller
