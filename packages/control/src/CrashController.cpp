#include "porttiller/control/CrashController.h"

#include "porttiller/control/ControlCodec.h"
#include "porttiller/core/Rendezvous.h"

#include <algorithm>
#include <map>

namespace porttiller {

namespace {

constexpr Millis kTick{ 100 };
// Boxes that join the crashes of one request.
constexpr std::size_t kOwners = 3;
constexpr Millis kReportTimeout{ 1000 };
constexpr GossipFanout kSpreadFanout{ .mOwnZone = 3, .mPerOtherZone = 1 };
constexpr Millis kMinSpreadInterval{ 200 };
constexpr std::size_t kMaxRecordsInMessage = 32;
// A digest difference that lasts longer is not due to a record in flight.
constexpr Millis kDifferenceTime{ 300 };
constexpr Millis kMinRequestInterval{ 1000 };
constexpr Millis kDropInterval{ 10'000 };
constexpr int kReadTries = 30; // of the store, at start
constexpr Millis kReadRetryWait{ 1000 };
constexpr Millis kStoreRetryWait{ 1000 };
constexpr std::size_t kMaxToStore = 2048; // as many as CrashTable holds

// Whether the record may have been quarantined before it was cleared.
bool
WasCleared(const CrashRecord& aRecord)
{
  return static_cast<int>(aRecord.mEvents.size()) >=
           CrashTableOptions().mQuarantineCrashes &&
         std::any_of(aRecord.mEvents.begin(),
                     aRecord.mEvents.end(),
                     [](const CrashEvent& aEvent) { return aEvent.mCleared; });
}

} // namespace

CrashController::CrashController(const Settings& aSettings,
                                 PeerTransport& aTransport,
                                 CrashMonitor& aMonitor,
                                 CrashPeers aPeers)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mMonitor(aMonitor)
  , mPeers(std::move(aPeers))
  , mStore(aSettings)
{
}

void
CrashController::Start()
{
  // At the first start of the whole system no records are stored, and those of
  // boxes that started a little earlier come from peers.
  if (!mSettings.mRegistration.mFirstStart) {
    mWorker.Post([this] { ReadStored(kReadTries); });
  }
  mTicker = std::make_unique<Ticker>(kTick, [this] { Tick(); });
}

void
CrashController::Stop()
{
  mTicker.reset();
  mStore.Abort();
  mWorker.Stop();
}

// Peers have the records, too, unless all boxes start at once.
void
CrashController::ReadStored(int aTriesLeft)
{
  const auto records = mStore.ReadAll();
  if (!records && aTriesLeft > 1) {
    mWorker.PostAfter(kReadRetryWait,
                      [this, aTriesLeft] { ReadStored(aTriesLeft - 1); });
  }
  if (!records) {
    return;
  }
  for (const auto& record : *records) {
    mMonitor.Learn(record, CrashMonitor::Source::kStore);
  }
}

void
CrashController::StoreOwned(const std::vector<CrashRecord>& aRecords)
{
  const auto boxes = mPeers.mLiveBoxes();
  for (const auto& record : aRecords) {
    const auto owners = RendezvousOwners(record.mDigest.ToString(), boxes, 1);
    if (owners.empty() || owners.front() != mSettings.mBox) {
      continue;
    }
    mWorker.Post([this, record] { Store(record); });
  }
}

void
CrashController::Store(const CrashRecord& aRecord)
{
  const auto verdict = mMonitor.StateOf(aRecord.mDigest).mVerdict;
  bool stored = true;
  if (verdict == CrashVerdict::kQuarantined ||
      verdict == CrashVerdict::kTrial) {
    stored = mStore.Write(aRecord);
  } else if (WasCleared(aRecord)) {
    stored = mStore.Remove(aRecord.mDigest);
  }
  if (stored) {
    mToStore.erase(aRecord.mDigest);
    return;
  }
  const bool scheduled = !mToStore.empty();
  if (mToStore.size() < kMaxToStore || mToStore.contains(aRecord.mDigest)) {
    mToStore.insert_or_assign(aRecord.mDigest, aRecord);
  }
  if (!scheduled) {
    mWorker.PostAfter(kStoreRetryWait, [this] { StoreAgain(); });
  }
}

// One call shows whether the store takes records again.
void
CrashController::StoreAgain()
{
  const auto waiting = mToStore;
  for (const auto& [digest, record] : waiting) {
    Store(record);
    if (mToStore.contains(digest)) {
      mWorker.PostAfter(kStoreRetryWait, [this] { StoreAgain(); });
      return;
    }
  }
}

void
CrashController::Tick()
{
  mPeers.mRecheckServers();
  SendReports();
  SpreadChanges();
  const auto now = Now();
  if (now >= mNextDrop) {
    mNextDrop = now + kDropInterval;
    mMonitor.DropOld();
  }
}

void
CrashController::SendReports()
{
  const auto reports = mMonitor.TakeReports(kMaxRecordsInMessage);
  const auto snapshot = mPeers.mSnapshot();
  if (reports.empty() || !snapshot) {
    return;
  }
  const auto boxes = mPeers.mLiveBoxes();
  std::map<BoxName, std::vector<CrashRecord>> byOwner;
  for (const auto& record : reports) {
    for (const auto& owner :
         RendezvousOwners(record.mDigest.ToString(), boxes, kOwners)) {
      byOwner[owner].push_back(record);
    }
  }
  byOwner.erase(mSettings.mBox);
  const auto now = Now();
  for (const auto& [owner, records] : byOwner) {
    const auto* box = snapshot->FindBox(owner);
    if (box == nullptr) {
      continue;
    }
    wire::Envelope message;
    *message.mutable_crash_report() = EncodeCrashRecords(records, now);
    // The reply shows that the link works; reports are sent again anyway.
    mTransport.Send(box->mControlAddress,
                    std::move(message),
                    kReportTimeout,
                    [](const PeerResult&) {});
  }
}

void
CrashController::SpreadChanges()
{
  const auto now = Now();
  if (now < mNextSpread) {
    return;
  }
  const auto records = mMonitor.TakeChanged(kMaxRecordsInMessage);
  if (records.empty()) {
    return;
  }
  mNextSpread = now + kMinSpreadInterval;
  StoreOwned(records);
  wire::Envelope message;
  *message.mutable_crash_report() = EncodeCrashRecords(records, now);
  for (const auto& peer : mPeers.mSpreadPeers(kSpreadFanout)) {
    mTransport.SendOneWay(peer.mControlAddress, message);
  }
}

void
CrashController::OnReport(const wire::CrashReport& aReport)
{
  for (const auto& record : DecodeCrashRecords(aReport, Now())) {
    mMonitor.Learn(record, CrashMonitor::Source::kPeer);
  }
}

wire::Envelope
CrashController::OnRequest() const
{
  wire::Envelope reply;
  *reply.mutable_crash_report() =
    EncodeCrashRecords(mMonitor.SharedRecords(kMaxRecordsInMessage), Now());
  return reply;
}

void
CrashController::OnPeerRevision(const PeerRevision& aPeer)
{
  const auto own = mMonitor.SharedDigest();
  const auto now = Now();
  {
    const std::lock_guard lock(mMutex);
    if (aPeer.mCrashes == own || aPeer.mCrashes == 0) {
      mDiffers = mDiffers && aPeer.mCrashes != own;
      return;
    }
    if (!mDiffers) {
      mDiffers = true;
      mDifferingSince = now;
    }
    const bool lasting = own == 0 || now >= mDifferingSince + kDifferenceTime;
    if (!lasting || now < mNextRequest) {
      return;
    }
    mNextRequest = now + kMinRequestInterval;
  }
  Request(aPeer.mAddress);
}

void
CrashController::Request(const std::string& aAddress)
{
  wire::Envelope request;
  request.mutable_crash_request();
  mTransport.Send(aAddress,
                  std::move(request),
                  kReportTimeout,
                  [this](const PeerResult& aResult) {
                    if (aResult && aResult->has_crash_report()) {
                      OnReport(aResult->crash_report());
                    }
                  });
}

} // namespace porttiller
