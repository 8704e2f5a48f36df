#include "porttiller/policy/CrashTable.h"

#include <algorithm>

namespace porttiller {

namespace {

// A record concerns other boxes from this number of crashes on.
constexpr std::size_t kSharedEvents = 2;

bool
AddEvent(CrashRecord& aRecord, const CrashEvent& aEvent, std::size_t aMost)
{
  auto& events = aRecord.mEvents;
  const auto it = std::lower_bound(
    events.begin(),
    events.end(),
    aEvent.mId,
    [](const CrashEvent& aLeft, std::uint64_t aId) { return aLeft.mId < aId; });
  if (it == events.end() || it->mId != aEvent.mId) {
    if (events.size() >= aMost) {
      return false;
    }
    events.insert(it, aEvent);
    return true;
  }
  const bool changed = (aEvent.mAfterCrash && !it->mAfterCrash) ||
                       (aEvent.mCleared && !it->mCleared);
  it->mAfterCrash |= aEvent.mAfterCrash;
  it->mCleared |= aEvent.mCleared;
  return changed;
}

} // namespace

std::string_view
ToText(CrashVerdict aVerdict)
{
  switch (aVerdict) {
    case CrashVerdict::kClear:
      return "clear";
    case CrashVerdict::kSuspect:
      return "suspect";
    case CrashVerdict::kQuarantined:
      return "quarantined";
    case CrashVerdict::kTrial:
      break;
  }
  return "trial";
}

CrashTable::Counted
CrashTable::Count(const CrashRecord& aRecord) const
{
  std::vector<CrashEvent> counting;
  Counted counted;
  bool afterCrash = false;
  for (const auto& event : aRecord.mEvents) {
    counted.mLast = std::max(counted.mLast, event.mAt);
    if (!event.mCleared) {
      counting.push_back(event);
      afterCrash |= event.mAfterCrash;
    }
  }
  counted.mCrashes = static_cast<int>(counting.size());
  counted.mQuarantined =
    afterCrash && counted.mCrashes >= mOptions.mQuarantineCrashes;
  if (!counted.mQuarantined) {
    return counted;
  }
  std::sort(counting.begin(),
            counting.end(),
            [](const CrashEvent& aLeft, const CrashEvent& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  const auto settled =
    counting[static_cast<std::size_t>(mOptions.mQuarantineCrashes) - 1].mAt +
    mOptions.mSettleTime;
  counted.mFailedTrials = static_cast<int>(std::count_if(
    counting.begin(), counting.end(), [&](const CrashEvent& aEvent) {
      return aEvent.mAt > settled;
    }));
  return counted;
}

CrashTable::Rank
CrashTable::RankOf(const Counted& aCounted)
{
  return { aCounted.mQuarantined, aCounted.mCrashes, aCounted.mLast };
}

CrashState
CrashTable::StateOf(const CrashRecord& aRecord, TimePoint aNow) const
{
  const auto counted = Count(aRecord);
  if (counted.mCrashes == 0 || IsOld(counted, aNow)) {
    return {};
  }
  if (!counted.mQuarantined) {
    return { .mVerdict = CrashVerdict::kSuspect, .mCrashes = counted.mCrashes };
  }
  const auto failed = static_cast<std::size_t>(counted.mFailedTrials);
  const auto pause = failed < mOptions.mPauses.size()
                       ? mOptions.mPauses.at(failed)
                       : mOptions.mQuarantineMemory;
  const auto end = counted.mLast + pause;
  if (aNow >= end) {
    return { .mVerdict = CrashVerdict::kTrial, .mCrashes = counted.mCrashes };
  }
  return { .mVerdict = CrashVerdict::kQuarantined,
           .mCrashes = counted.mCrashes,
           .mRetryAfter = std::chrono::ceil<Millis>(end - aNow) };
}

CrashState
CrashTable::StateOf(const RequestDigest& aDigest, TimePoint aNow) const
{
  const auto* record = Find(aDigest);
  return record == nullptr ? CrashState() : StateOf(*record, aNow);
}

const CrashRecord*
CrashTable::Find(const RequestDigest& aDigest) const
{
  const auto it = mRecords.find(aDigest);
  return it == mRecords.end() ? nullptr : &it->second;
}

bool
CrashTable::IsShared(const CrashRecord& aRecord) const
{
  return aRecord.mEvents.size() >= kSharedEvents;
}

bool
CrashTable::IsOld(const Counted& aCounted, TimePoint aNow) const
{
  return aNow >= aCounted.mLast + (aCounted.mQuarantined
                                     ? mOptions.mQuarantineMemory
                                     : mOptions.mSuspectMemory);
}

bool
CrashTable::Merge(const CrashRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mEvents.empty() || IsOld(Count(aRecord), aNow)) {
    return false;
  }
  auto it = mRecords.find(aRecord.mDigest);
  if (it == mRecords.end()) {
    if (!MakeRoom(aRecord)) {
      return false;
    }
    it = mRecords.try_emplace(aRecord.mDigest).first;
    it->second.mDigest = aRecord.mDigest;
  }
  bool changed = false;
  for (const auto& event : aRecord.mEvents) {
    changed |= AddEvent(it->second, event, mOptions.mMaxEvents);
  }
  const auto answer = mAnswers.find(aRecord.mDigest);
  if (answer != mAnswers.end()) {
    changed |= ClearUntil(aRecord.mDigest, answer->second);
  }
  return changed;
}

// Replaces the least important record if that is less important than aRecord.
bool
CrashTable::MakeRoom(const CrashRecord& aRecord)
{
  if (mRecords.size() < mOptions.mMaxRecords) {
    return true;
  }
  const auto least = std::min_element(
    mRecords.begin(),
    mRecords.end(),
    [&](const auto& aLeft, const auto& aRight) {
      return RankOf(Count(aLeft.second)) < RankOf(Count(aRight.second));
    });
  if (RankOf(Count(aRecord)) < RankOf(Count(least->second))) {
    return false;
  }
  mRecords.erase(least);
  return true;
}

bool
CrashTable::ClearUntil(const RequestDigest& aDigest, TimePoint aUntil)
{
  const auto it = mRecords.find(aDigest);
  if (it == mRecords.end()) {
    return false;
  }
  bool changed = false;
  for (auto& event : it->second.mEvents) {
    if (!event.mCleared && event.mAt <= aUntil) {
      event.mCleared = true;
      changed = true;
    }
  }
  return changed;
}

bool
CrashTable::OnAnswered(const RequestDigest& aDigest, TimePoint aNow)
{
  RememberAnswer(aDigest, aNow);
  return ClearUntil(aDigest, aNow);
}

bool
CrashTable::Clear(const RequestDigest& aDigest, TimePoint aNow)
{
  return ClearUntil(aDigest, aNow);
}

void
CrashTable::RememberAnswer(const RequestDigest& aDigest, TimePoint aNow)
{
  mAnswers[aDigest] = aNow;
  mAnswerOrder.emplace_back(aNow, aDigest);
  while (mAnswerOrder.size() > mOptions.mMaxAnswers ||
         mAnswerOrder.front().first + mOptions.mAnswerMemory < aNow) {
    const auto& [at, digest] = mAnswerOrder.front();
    const auto it = mAnswers.find(digest);
    if (it != mAnswers.end() && it->second == at) {
      mAnswers.erase(it);
    }
    mAnswerOrder.pop_front();
  }
}

std::vector<CrashRecord>
CrashTable::SharedRecords(std::size_t aMost, TimePoint aNow) const
{
  std::vector<std::pair<Rank, const CrashRecord*>> shared;
  for (const auto& [digest, record] : mRecords) {
    if (!IsShared(record)) {
      continue;
    }
    const auto counted = Count(record);
    if (!IsOld(counted, aNow)) {
      shared.emplace_back(RankOf(counted), &record);
    }
  }
  const auto count = std::min(aMost, shared.size());
  std::partial_sort(shared.begin(),
                    shared.begin() + static_cast<std::ptrdiff_t>(count),
                    shared.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  std::vector<CrashRecord> records;
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    records.push_back(*shared[i].second);
  }
  return records;
}

std::uint64_t
CrashTable::SharedDigest(TimePoint aNow) const
{
  std::uint64_t digest = 0;
  for (const auto& [request, record] : mRecords) {
    if (!IsShared(record)) {
      continue;
    }
    const auto counted = Count(record);
    if (IsOld(counted, aNow)) {
      continue;
    }
    const auto state =
      std::to_string(std::min(counted.mCrashes, mOptions.mQuarantineCrashes)) +
      (counted.mQuarantined ? "q" : "s") +
      std::to_string(counted.mFailedTrials);
    digest ^= RequestDigest::Of({ request.ToString(), state }).Low();
  }
  return digest;
}

std::size_t
CrashTable::Quarantined(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [&](const auto& aItem) {
      return StateOf(aItem.second, aNow).mVerdict == CrashVerdict::kQuarantined;
    }));
}

void
CrashTable::DropOld(TimePoint aNow)
{
  std::erase_if(mRecords, [&](const auto& aItem) {
    return IsOld(Count(aItem.second), aNow);
  });
}

} // namespace porttiller
