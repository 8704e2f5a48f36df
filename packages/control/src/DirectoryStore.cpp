// The part of DirectoryController that loads what this box knew before a
// restart and keeps its own record in the store.
#include "porttiller/control/DirectoryController.h"
#include "porttiller/control/HealthCheck.h"
#include "porttiller/hop/Dialects.h"
#include "porttiller/hop/Random.h"
#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kRetryWait{ 700 };
// The wait doubles up to this limit, to reduce the load on a failing store.
constexpr Millis kMaxRetryWait{ 2000 };
// At the first start of the whole system, a box that has written its record
// waits a random time up to this limit for records from peers, and lists the
// store if none arrive. Each box that lists sends to eleven others, so few
// boxes have to.
constexpr Millis kMaxListDelay{ 1500 };
// One box of each zone lists the store at this interval, so that parts of the
// fleet that do not know each other are merged.
constexpr Millis kListInterval{ 30'000 };
// At the first start of the whole system the box waits up to this time for its
// server's first heartbeat, so that one write covers the box and its server.
constexpr Millis kFirstHeartbeatWait{ 2600 };
// A server waits 1 s for its acknowledgement: a write that another thread has
// begun may take this much of it, before the store and the peers are called.
constexpr Millis kAckWriteWait{ 200 };
// A restarted box asks its server whether it is ready before it writes its
// record, for up to this time; after that until a heartbeat says so.
constexpr Millis kMaxConfirmWait{ 250 };
constexpr Millis kConfirmInterval{ 50 };
constexpr Millis kLaterConfirmInterval{ 500 };

} // namespace

void
DirectoryController::Sleep(Millis aTime)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(
    lock, aTime, [this] { return mStop || (mLoaded && !mOwn.IsStored()); });
}

// Loads the directory, then keeps the own record in the store up to date.
void
DirectoryController::Run()
{
  if (mSettings.mRegistration.mFirstStart) {
    std::unique_lock lock(mMutex);
    mWake.wait_for(lock, kFirstHeartbeatWait, [this] {
      return mStop || mServerMessageSeen;
    });
  } else {
    QuerySeedsForOwn();
  }
  auto wait = kRetryWait;
  while (!mStop && !LoadFromStore()) {
    QuerySeeds();
    QuerySeedsForOwn();
    Sleep(wait);
    wait = std::min(2 * wait, kMaxRetryWait);
  }
  KeepUpToDate();
}

void
DirectoryController::KeepUpToDate()
{
  auto wait = kRetryWait;
  auto nextList = Now() + kListInterval;
  while (!mStop) {
    {
      std::unique_lock lock(mMutex);
      const bool confirms = mOwn.Unconfirmed() && mChecksLeft > 0;
      const auto until = confirms ? std::min(nextList, mNextConfirm) : nextList;
      mWake.wait_until(lock, until, [this] {
        return mStop || !mOwn.IsStored() || IsConfirmDue();
      });
    }
    if (!mStop && Now() >= nextList) {
      nextList = Now() + kListInterval;
      if (mHooks.mShouldListRecords()) {
        ReadList();
      }
    }
    ConfirmServer();
    if (mStop || WriteOwn(false)) {
      wait = kRetryWait;
      continue;
    }
    std::unique_lock lock(mMutex);
    mWake.wait_for(lock, wait, [this] { return mStop.load(); });
    wait = std::min(2 * wait, kMaxRetryWait);
  }
}

// Under mMutex.
bool
DirectoryController::IsConfirmDue() const
{
  return mOwn.Unconfirmed() && mChecksLeft > 0 && Now() >= mNextConfirm;
}

// Asks a server that was restored as ready whether it still is. Heartbeats
// answer that, too, but the next one may be seconds away.
void
DirectoryController::ConfirmServer()
{
  std::optional<ServerRecord> server;
  {
    const std::lock_guard lock(mMutex);
    if (!IsConfirmDue()) {
      return;
    }
    server = mOwn.Unconfirmed();
    mNextConfirm = Now() + kLaterConfirmInterval;
  }
  const auto path = mHooks.mHealthPath(server->mService);
  if (path.empty()) {
    return; // the configuration is not known yet, or has no health check
  }
  const bool ready =
    SaysReady(*server, { .mPath = path, .mHeaders = EdgeHeadersOf(mSettings) });
  LogLine(LogLevel::kInfo, "server_checked")
    .With("server", server->mIncarnation.ToString())
    .With("ready", ready ? "yes" : "no");
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    --mChecksLeft;
    if (!ready || !mOwn.Confirm(server->mIncarnation, WallClockMicros())) {
      return;
    }
    OnOwnChanged();
    record = mOwn.Record();
  }
  AnnounceOwn(record);
}

// Waits for the first answer of the server, so that one write covers the box
// and its server.
void
DirectoryController::WaitForServer()
{
  const auto end = Now() + kMaxConfirmWait;
  while (!mStop && Now() < end) {
    ConfirmServer();
    std::unique_lock lock(mMutex);
    if (!mOwn.Unconfirmed()) {
      return;
    }
    mNextConfirm = Now();
    mWake.wait_for(
      lock, kConfirmInterval, [this] { return mStop || !mOwn.Unconfirmed(); });
  }
}

// Writes the own record before it reads the list: of two boxes that start
// together, the one that reads later then sees the other and sends it its
// record.
bool
DirectoryController::LoadFromStore()
{
  if (!mSettings.mRegistration.mFirstStart) {
    if (!ReadOwn()) {
      return false;
    }
    WaitForServer();
  }
  if (!WriteOwn(false)) {
    return false;
  }
  if (!WaitForPeerRecords() && !ReadList()) {
    return false;
  }
  mLoaded = true;
  // Needed even if no records were loaded: this box's server may be new.
  Publish();
  BoxRecord own;
  {
    const std::lock_guard lock(mMutex);
    own = mOwn.Record();
  }
  PushOwn(own);
  return true;
}

// Loads the record of an earlier incarnation of this box.
bool
DirectoryController::ReadOwn()
{
  const auto own = mStore.ReadOwn();
  if (own && *own) {
    const std::lock_guard lock(mMutex);
    LearnOwn(**own, "store");
  }
  return own.has_value();
}

// At the first start of the whole system: true once a peer has sent a record of
// another box. Digests then bring the rest, so that the list, which grows with
// the fleet, need not be read. At any later start a box reads the list at once:
// after a power failure of the whole fleet it cannot serve its callers until it
// knows the other boxes.
bool
DirectoryController::WaitForPeerRecords()
{
  if (!mSettings.mRegistration.mFirstStart) {
    return false;
  }
  const auto span = static_cast<std::uint64_t>(kMaxListDelay.count());
  const auto delay = Millis(static_cast<Millis::rep>(Random() % span));
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, delay, [this] { return mStop || mLearnedFromPeer; });
  return mLearnedFromPeer;
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
  std::unique_lock writeLock(mWriteMutex, std::defer_lock);
  if (!aForAck) {
    writeLock.lock();
  } else if (!writeLock.try_lock_for(kAckWriteWait)) {
    return false;
  }
  BoxRecord record;
  {
    const std::lock_guard lock(mMutex);
    if (mOwn.IsStored()) {
      return true;
    }
    record = mOwn.Record();
  }
  const auto write = mStore.Write(record, aForAck);
  const std::lock_guard lock(mMutex);
  if (write.mEarlier) {
    LearnOwn(*write.mEarlier, "store");
  }
  if (write.mWritten) {
    mOwn.OnStored(record.mRevision);
  }
  return write.mWritten;
}

void
DirectoryController::QuerySeeds()
{
  for (const auto& seed : SeedAddresses(mSettings)) {
    Request(seed);
  }
}

// Requests what the seeds hold of this box from before its restart. They don't
// return it otherwise: the revision of the present record is higher.
void
DirectoryController::QuerySeedsForOwn()
{
  for (const auto& seed : SeedAddresses(mSettings)) {
    SendExchange(seed, { .mWanted = { mSettings.mBox } }, 1);
  }
}

} // namespace porttiller
