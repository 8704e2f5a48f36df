#include "sim/CrashFleet.h"

#include <algorithm>

namespace porttiller::bench {

namespace {

constexpr Millis kRunTime{ 80 };
constexpr Millis kDownTime{ 3000 };
constexpr Millis kHop{ 2 };
constexpr Millis kContactTime{ 3000 };
constexpr std::size_t kCrashes = 3;
constexpr int kBystanders = 2; // other requests that run at a crash
// As CrashController.
constexpr Millis kTick{ 100 };
constexpr Millis kSpreadInterval{ 200 };
constexpr Millis kProbeInterval{ 1000 };
constexpr int kOwners = 3;
constexpr int kReports = 3;
constexpr std::size_t kMaxRecords = 32;
constexpr int kOwnZoneFanout = 3;
constexpr Millis kKnowInterval{ 20 }; // how often the oracle looks
// Size of the encoded messages.
constexpr double kMessageBytes = 60.0;
constexpr double kRecordBytes = 20.0;
constexpr double kEventBytes = 16.0;
constexpr double kProbeDigestBytes = 9.0;

double
BytesOf(const std::vector<CrashRecord>& aRecords)
{
  double bytes = kMessageBytes;
  for (const auto& record : aRecords) {
    bytes +=
      kRecordBytes + kEventBytes * static_cast<double>(record.mEvents.size());
  }
  return bytes;
}

} // namespace

CrashFleet::CrashFleet(CrashFleetOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (int i = 0; i < mOptions.mBoxes; ++i) {
    mBoxes.push_back({ .mTable = std::optional<CrashTable>(mOptions.mTable) });
  }
  for (int i = 0; i < mOptions.mCrashing; ++i) {
    mCrashing.push_back({ .mDigest = { 2, mRandom() } });
  }
}

void
CrashFleet::At(TimePoint aTime, std::function<void()> aAction)
{
  mEvents.push({ aTime, mNextOrder++, std::move(aAction) });
}

std::vector<int>
CrashFleet::SpreadPeers(int aFrom)
{
  std::vector<int> peers;
  const int zones = mOptions.mZones;
  for (int zone = 0; zone < zones; ++zone) {
    const int wanted = zone == aFrom % zones ? kOwnZoneFanout : 1;
    for (int i = 0; i < wanted; ++i) {
      const int inZone = mOptions.mBoxes / zones;
      peers.push_back(
        zone + zones * static_cast<int>(mRandom() %
                                        static_cast<std::uint64_t>(inZone)));
    }
  }
  return peers;
}

void
CrashFleet::Send(int aFrom, int aTo, std::vector<CrashRecord> aRecords)
{
  mBoxes[static_cast<std::size_t>(aFrom)].mBytes += BytesOf(aRecords);
  if (Draw() < mOptions.mLoss) {
    return;
  }
  At(mNow + kHop, [this, aTo, records = std::move(aRecords)] {
    for (const auto& record : records) {
      Merge(aTo, record);
    }
  });
}

void
CrashFleet::Merge(int aBox, const CrashRecord& aRecord)
{
  if (mOptions.mScheme == CrashScheme::kNone) {
    return;
  }
  auto& box = mBoxes[static_cast<std::size_t>(aBox)];
  if (box.mTable->Merge(aRecord, mNow)) {
    box.mChanged.insert(aRecord.mDigest);
  }
}

void
CrashFleet::Arrive(std::size_t aRequest)
{
  Attempt(aRequest, DrawBox(), 0);
  const Micros wait(static_cast<Micros::rep>(
    std::exponential_distribution<>(mOptions.mArrivalsPerS)(mRandom) *
    Micros(std::chrono::seconds(1)).count()));
  At(mNow + wait, [this, aRequest] { Arrive(aRequest); });
}

void
CrashFleet::Attempt(std::size_t aRequest, int aEntry, int aReached)
{
  auto& request = mCrashing[aRequest];
  const auto rejects = [&](int aBox) {
    const auto state = mBoxes[static_cast<std::size_t>(aBox)].mTable->StateOf(
      request.mDigest, mNow);
    return state.mVerdict == CrashVerdict::kQuarantined ||
           (aReached > 0 && (state.mVerdict == CrashVerdict::kTrial ||
                             state.mCrashes >= mOptions.mMaxCrashesForRetry));
  };
  const int home = DrawBox();
  auto& box = mBoxes[static_cast<std::size_t>(home)];
  if (aReached >= mOptions.mMaxServers || rejects(aEntry) || box.mUpAt > mNow) {
    return;
  }
  if (const auto* known = mBoxes[static_cast<std::size_t>(aEntry)].mTable->Find(
        request.mDigest)) {
    Merge(home, *known);
  }
  if (rejects(home)) {
    return;
  }
  if (request.mCrashes.size() >= kCrashes &&
      mNow > request.mCrashes[kCrashes - 1] + kContactTime) {
    ++request.mLate;
  }
  const bool afterCrash =
    box.mTable->StateOf(request.mDigest, mNow).mCrashes > 0;
  At(mNow + kRunTime, [this, aRequest, home, afterCrash, aEntry, aReached] {
    if (mBoxes[static_cast<std::size_t>(home)].mUpAt <= mNow) {
      Crash(aRequest, home, afterCrash, aEntry);
    }
    At(mNow + kHop, [this, aRequest, aEntry, aReached] {
      Attempt(aRequest, aEntry, aReached + 1);
    });
  });
}

void
CrashFleet::Crash(std::size_t aRequest, int aHome, bool aAfterCrash, int aEntry)
{
  ++mLost;
  auto& request = mCrashing[aRequest];
  request.mCrashes.push_back(mNow);
  mBoxes[static_cast<std::size_t>(aHome)].mUpAt = mNow + kDownTime;
  const CrashEvent event{ .mId = mRandom(),
                          .mAt = mNow,
                          .mAfterCrash = aAfterCrash };
  const CrashRecord own{ .mDigest = request.mDigest, .mEvents = { event } };
  Merge(aHome, own);
  At(mNow + kHop, [this, aEntry, own] { Merge(aEntry, own); });
  std::vector<RequestDigest> suspects{ request.mDigest, mPopular };
  for (int i = 0; i < kBystanders; ++i) {
    suspects.emplace_back(3, mRandom());
  }
  for (const auto& suspect : suspects) {
    auto record = own;
    record.mDigest = suspect;
    Merge(aHome, record);
    Report(aHome, record);
  }
}

// To the boxes that join a request's crashes, several times.
void
CrashFleet::Report(int aHome, const CrashRecord& aRecord)
{
  if (mOptions.mScheme != CrashScheme::kJoined) {
    return;
  }
  for (int i = 0; i < kReports; ++i) {
    At(mNow + kTick / 2 + i * std::chrono::seconds(1), [this, aHome, aRecord] {
      std::mt19937_64 owners(aRecord.mDigest.Low());
      for (int owner = 0; owner < kOwners; ++owner) {
        Send(aHome, static_cast<int>(owners() % mBoxes.size()), { aRecord });
      }
    });
  }
}

void
CrashFleet::RunPopular()
{
  const auto share =
    mOptions.mPopularPerS * std::chrono::duration<double>(kTick).count();
  for (auto& box : mBoxes) {
    if (box.mUpAt > mNow || Draw() >= share) {
      continue;
    }
    ++mPopularSent;
    const auto verdict = box.mTable->StateOf(mPopular, mNow).mVerdict;
    if (verdict == CrashVerdict::kQuarantined) {
      ++mPopularRejected;
    } else if (box.mTable->OnAnswered(mPopular, mNow)) {
      box.mChanged.insert(mPopular);
    }
  }
  At(mNow + kTick, [this] { RunPopular(); });
}

void
CrashFleet::SpreadAll()
{
  for (std::size_t i = 0; i < mBoxes.size(); ++i) {
    auto& box = mBoxes[i];
    if (box.mChanged.empty()) {
      continue;
    }
    std::vector<CrashRecord> records;
    for (auto& record : box.mTable->SharedRecords(kMaxRecords, mNow)) {
      if (box.mChanged.contains(record.mDigest)) {
        records.push_back(std::move(record));
      }
    }
    box.mChanged.clear();
    if (records.empty()) {
      continue;
    }
    for (const int peer : SpreadPeers(static_cast<int>(i))) {
      Send(static_cast<int>(i), peer, records);
    }
  }
  At(mNow + kSpreadInterval, [this] { SpreadAll(); });
}

void
CrashFleet::ProbeAll()
{
  for (std::size_t i = 0; i < mBoxes.size(); ++i) {
    const auto peer = static_cast<std::size_t>(DrawBox());
    const auto own = mBoxes[i].mTable->SharedDigest(mNow);
    const auto theirs = mBoxes[peer].mTable->SharedDigest(mNow);
    mBoxes[i].mBytes += own == 0 ? 0.0 : kProbeDigestBytes;
    mBoxes[peer].mBytes += theirs == 0 ? 0.0 : kProbeDigestBytes;
    if (theirs != 0 && own != theirs) {
      Send(static_cast<int>(peer),
           static_cast<int>(i),
           mBoxes[peer].mTable->SharedRecords(kMaxRecords, mNow));
    }
  }
  At(mNow + kProbeInterval, [this] { ProbeAll(); });
}

void
CrashFleet::NoteWhoKnows()
{
  for (auto& request : mCrashing) {
    const bool counts =
      request.mCrashes.size() >= kCrashes && request.mAllKnowAt == TimePoint();
    const bool all =
      counts && std::all_of(mBoxes.begin(), mBoxes.end(), [&](const Box& aBox) {
        return aBox.mTable->StateOf(request.mDigest, mNow).mVerdict ==
               CrashVerdict::kQuarantined;
      });
    if (all) {
      request.mAllKnowAt = mNow;
    }
  }
  At(mNow + kKnowInterval, [this] { NoteWhoKnows(); });
}

CrashOutcome
CrashFleet::Run()
{
  for (std::size_t i = 0; i < mCrashing.size(); ++i) {
    At(mNow + Millis(static_cast<Millis::rep>(mRandom() % 1000)),
       [this, i] { Arrive(i); });
  }
  RunPopular();
  NoteWhoKnows();
  if (mOptions.mScheme == CrashScheme::kJoined) {
    SpreadAll();
    ProbeAll();
  }
  if (mOptions.mRestartEvery > 0) {
    At(mStart + mOptions.mLength / 2, [this] {
      for (std::size_t i = 0; i < mBoxes.size();
           i += static_cast<std::size_t>(mOptions.mRestartEvery)) {
        mBoxes[i].mTable.emplace(mOptions.mTable);
        mBoxes[i].mChanged.clear();
      }
    });
  }
  const auto end = mStart + mOptions.mLength;
  while (mEvents.top().mAt < end) {
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mAction();
  }
  CrashOutcome outcome{ .mServersLost = mLost };
  bool allKnow = true;
  for (const auto& request : mCrashing) {
    outcome.mMostLostToOne = std::max(
      outcome.mMostLostToOne, static_cast<int>(request.mCrashes.size()));
    outcome.mMostLate = std::max(outcome.mMostLate, request.mLate);
    if (request.mAllKnowAt == TimePoint()) {
      allKnow = false;
      continue;
    }
    outcome.mAllKnowS =
      std::max(outcome.mAllKnowS,
               std::chrono::duration<double>(request.mAllKnowAt -
                                             request.mCrashes[kCrashes - 1])
                 .count());
  }
  outcome.mAllKnowS = allKnow ? outcome.mAllKnowS : -1.0;
  const auto seconds = std::chrono::duration<double>(mOptions.mLength).count();
  for (const auto& box : mBoxes) {
    outcome.mBytesPerBoxSecond +=
      box.mBytes / seconds / static_cast<double>(mBoxes.size());
    outcome.mBytesOfBusiest =
      std::max(outcome.mBytesOfBusiest, box.mBytes / seconds);
    outcome.mMostRecords = std::max(outcome.mMostRecords, box.mTable->Size());
  }
  outcome.mPopularRejectedShare =
    mPopularSent == 0.0 ? 0.0 : mPopularRejected / mPopularSent;
  return outcome;
}

} // namespace porttiller::bench
