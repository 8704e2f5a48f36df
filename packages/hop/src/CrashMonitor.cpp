#include "porttiller/hop/CrashMonitor.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr std::size_t kMaxChanged = 2048;
constexpr std::size_t kMaxReports = 256;
constexpr std::size_t kMaxDigestsInLine = 16;
constexpr Millis kReportInterval{ 1000 };

const char*
ToText(CrashMonitor::Source aSource)
{
  switch (aSource) {
    case CrashMonitor::Source::kHop:
      return "hop";
    case CrashMonitor::Source::kPeer:
      return "peer";
    case CrashMonitor::Source::kStore:
      break;
  }
  return "store";
}

std::int64_t
AgeMs(TimePoint aAt, TimePoint aNow)
{
  return std::chrono::duration_cast<Millis>(aNow - aAt).count();
}

} // namespace

CrashState
CrashMonitor::StateOf(const RequestDigest& aDigest) const
{
  const std::lock_guard lock(mMutex);
  return mTable.StateOf(aDigest, Now());
}

std::vector<CrashEvent>
CrashMonitor::EventsOf(const RequestDigest& aDigest) const
{
  const std::lock_guard lock(mMutex);
  const auto* record = mTable.Find(aDigest);
  if (record == nullptr) {
    return {};
  }
  auto events = record->mEvents;
  std::sort(events.begin(),
            events.end(),
            [](const CrashEvent& aLeft, const CrashEvent& aRight) {
              return aLeft.mAt > aRight.mAt;
            });
  events.resize(std::min(events.size(), kMaxHopEvents));
  return events;
}

void
CrashMonitor::OnServerCrash(std::uint64_t aCrash,
                            const ServerIncarnation& aServer,
                            const std::vector<CrashSuspect>& aSuspects)
{
  const auto now = Now();
  std::string digests;
  int most = 0;
  {
    const std::lock_guard lock(mMutex);
    for (const auto& suspect : aSuspects) {
      const CrashRecord record{ .mDigest = suspect.mDigest,
                                .mEvents = {
                                  { .mId = aCrash,
                                    .mAt = now,
                                    .mAfterCrash = suspect.mAfterCrash } } };
      MergeLocked(record, "home", now);
      most = std::max(most, mTable.StateOf(suspect.mDigest, now).mCrashes);
      if (mReports.size() < kMaxReports) {
        mReports.push_back({ .mRecord = record, .mDue = now });
      }
    }
  }
  const auto shown = std::min(kMaxDigestsInLine, aSuspects.size());
  for (std::size_t i = 0; i < shown; ++i) {
    digests += (i == 0 ? "" : ",") + aSuspects[i].mDigest.ToString();
  }
  LogLine(LogLevel::kWarning, "server_crashed")
    .With("server", aServer.ToString())
    .With("crash", std::to_string(aCrash))
    .With("running", static_cast<std::int64_t>(aSuspects.size()))
    .With("most_crashes", most)
    .With("digests", digests);
}

void
CrashMonitor::OnAnswered(const RequestDigest& aDigest)
{
  const auto now = Now();
  const std::lock_guard lock(mMutex);
  const auto before = mTable.StateOf(aDigest, now);
  if (mTable.OnAnswered(aDigest, now)) {
    NoteChange(aDigest, before, "answer", now);
  }
}

void
CrashMonitor::Learn(const CrashRecord& aRecord, Source aSource)
{
  const std::lock_guard lock(mMutex);
  MergeLocked(aRecord, ToText(aSource), Now());
}

bool
CrashMonitor::Clear(const RequestDigest& aDigest)
{
  const auto now = Now();
  const std::lock_guard lock(mMutex);
  const auto before = mTable.StateOf(aDigest, now);
  if (!mTable.Clear(aDigest, now)) {
    return false;
  }
  NoteChange(aDigest, before, "operator", now);
  return true;
}

void
CrashMonitor::MergeLocked(const CrashRecord& aRecord,
                          const char* aSource,
                          TimePoint aNow)
{
  const auto before = mTable.StateOf(aRecord.mDigest, aNow);
  if (mTable.Merge(aRecord, aNow)) {
    NoteChange(aRecord.mDigest, before, aSource, aNow);
  }
}

void
CrashMonitor::NoteChange(const RequestDigest& aDigest,
                         const CrashState& aBefore,
                         const char* aSource,
                         TimePoint aNow)
{
  if (mChanged.size() < kMaxChanged) {
    mChanged.insert(aDigest);
  }
  const auto state = mTable.StateOf(aDigest, aNow);
  if (state.mVerdict == aBefore.mVerdict) {
    return;
  }
  const auto* record = mTable.Find(aDigest);
  TimePoint last;
  for (const auto& event : record->mEvents) {
    last = std::max(last, event.mAt);
  }
  LogLine(LogLevel::kInfo, "request_verdict")
    .With("digest", aDigest.ToString())
    .With("verdict", std::string(porttiller::ToText(state.mVerdict)))
    .With("was", std::string(porttiller::ToText(aBefore.mVerdict)))
    .With("crashes", state.mCrashes)
    .With("last_crash_age_ms", AgeMs(last, aNow))
    .With("source", aSource)
    .With("retry_after_ms", state.mRetryAfter.count());
}

std::vector<CrashRecord>
CrashMonitor::TakeReports(std::size_t aMost)
{
  const auto now = Now();
  std::vector<CrashRecord> due;
  const std::lock_guard lock(mMutex);
  for (auto& report : mReports) {
    if (due.size() >= aMost) {
      break;
    }
    if (report.mDue <= now) {
      due.push_back(report.mRecord);
      report.mDue = now + kReportInterval;
      --report.mLeft;
    }
  }
  std::erase_if(mReports,
                [](const Report& aReport) { return aReport.mLeft == 0; });
  return due;
}

std::vector<CrashRecord>
CrashMonitor::TakeChanged(std::size_t aMost)
{
  const std::lock_guard lock(mMutex);
  if (mChanged.empty()) {
    return {};
  }
  std::vector<CrashRecord> records;
  for (auto& record : mTable.SharedRecords(kMaxChanged, Now())) {
    if (records.size() >= aMost) {
      return records;
    }
    if (mChanged.erase(record.mDigest) > 0) {
      records.push_back(std::move(record));
    }
  }
  mChanged.clear(); // the others concern this box alone
  return records;
}

std::vector<CrashRecord>
CrashMonitor::SharedRecords(std::size_t aMost) const
{
  const std::lock_guard lock(mMutex);
  return mTable.SharedRecords(aMost, Now());
}

std::uint64_t
CrashMonitor::SharedDigest() const
{
  const std::lock_guard lock(mMutex);
  return mTable.SharedDigest(Now());
}

std::size_t
CrashMonitor::Size() const
{
  const std::lock_guard lock(mMutex);
  return mTable.Size();
}

std::size_t
CrashMonitor::Quarantined() const
{
  const std::lock_guard lock(mMutex);
  return mTable.Quarantined(Now());
}

void
CrashMonitor::DropOld()
{
  const std::lock_guard lock(mMutex);
  mTable.DropOld(Now());
}

std::string
CrashMonitor::Dump(std::size_t aMost) const
{
  const auto now = Now();
  std::string text;
  const std::lock_guard lock(mMutex);
  for (const auto& record : mTable.SharedRecords(aMost, now)) {
    const auto state = mTable.StateOf(record.mDigest, now);
    text += (text.empty() ? "" : " ") + record.mDigest.ToString() + "=" +
            std::string(porttiller::ToText(state.mVerdict)) + "/" +
            std::to_string(state.mCrashes) + "/" +
            std::to_string(state.mRetryAfter.count()) + "ms";
  }
  return text;
}

} // namespace porttiller
