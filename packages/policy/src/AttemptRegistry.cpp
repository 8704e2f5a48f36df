#include "porttiller/policy/AttemptRegistry.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr Millis kIdleScanInterval{ 60'000 };

} // namespace

AttemptRegistry::AttemptRegistry(AttemptRegistryOptions aOptions)
  : mOptions(aOptions)
{
}

const AttemptRegistry::Record*
AttemptRegistry::Find(const AttemptId& aId) const
{
  const auto entry = mEntries.find({ aId.Box(), aId.BoxIncarnation() });
  if (entry == mEntries.end()) {
    return nullptr;
  }
  const auto record = entry->second.mRecords.find(aId.Sequence());
  return record == entry->second.mRecords.end() ? nullptr : &record->second;
}

AttemptRegistry::Record*
AttemptRegistry::Find(const AttemptId& aId)
{
  return const_cast<Record*>(std::as_const(*this).Find(aId));
}

bool
AttemptRegistry::BelowWatermark(const AttemptId& aId) const
{
  const auto entry = mEntries.find({ aId.Box(), aId.BoxIncarnation() });
  if (entry != mEntries.end()) {
    return aId.Sequence() <= entry->second.mWatermark;
  }
  const auto dropped = mDroppedIncarnations.find(aId.Box());
  return dropped != mDroppedIncarnations.end() &&
         aId.BoxIncarnation() <= dropped->second;
}

AttemptRegistry::Entry&
AttemptRegistry::Touch(const AttemptId& aId, TimePoint aNow)
{
  auto& entry = mEntries[{ aId.Box(), aId.BoxIncarnation() }];
  entry.mLastUse = aNow;
  return entry;
}

void
AttemptRegistry::Insert(const AttemptId& aId,
                        AttemptState aState,
                        TimePoint aNow)
{
  Touch(aId, aNow).mRecords[aId.Sequence()].mState = aState;
  mRecordOrder.push_back(aId);
  Trim();
}

AdmitVerdict
AttemptRegistry::Admit(const AttemptId& aId, TimePoint aNow)
{
  DropIdle(aNow);
  if (const auto* record = Find(aId)) {
    return record->mState == AttemptState::kNotRun ? AdmitVerdict::kRevoked
                                                   : AdmitVerdict::kDuplicate;
  }
  if (BelowWatermark(aId)) {
    return AdmitVerdict::kStale;
  }
  Insert(aId, AttemptState::kRunning, aNow);
  return AdmitVerdict::kAdmitted;
}

void
AttemptRegistry::Reject(const AttemptId& aId)
{
  auto* record = Find(aId);
  if (record != nullptr && record->mState == AttemptState::kRunning) {
    record->mState = AttemptState::kNotRun;
  }
}

void
AttemptRegistry::Finish(const AttemptId& aId,
                        Outcome aOutcome,
                        RecordedAnswerPtr aAnswer)
{
  auto* record = Find(aId);
  if (record == nullptr || record->mState != AttemptState::kRunning) {
    return;
  }
  record->mState = AttemptState::kFinished;
  record->mOutcome = aOutcome;
  if (aAnswer && aAnswer->mBody.size() <= mOptions.mMaxAnswerBytes) {
    mAnswerBytes += aAnswer->mBody.size();
    record->mAnswer = std::move(aAnswer);
    mAnswerOrder.push_back(aId);
    TrimAnswers();
  }
}

AttemptReport
AttemptRegistry::Revoke(const AttemptId& aId, TimePoint aNow)
{
  DropIdle(aNow);
  if (Find(aId) == nullptr && !BelowWatermark(aId)) {
    Insert(aId, AttemptState::kNotRun, aNow);
    return { .mState = AttemptState::kNotRun };
  }
  return Query(aId);
}

AttemptReport
AttemptRegistry::Query(const AttemptId& aId) const
{
  const auto* record = Find(aId);
  if (record == nullptr) {
    return {};
  }
  return { .mState = record->mState,
           .mOutcome = record->mOutcome,
           .mAnswer = record->mAnswer };
}

void
AttemptRegistry::Trim()
{
  // Records of running attempts stay; their number is bounded by slots.
  std::size_t unvisited = mRecordOrder.size();
  while (mRecordOrder.size() > mOptions.mMaxRecords && unvisited-- > 0) {
    const auto id = mRecordOrder.front();
    mRecordOrder.pop_front();
    const auto* record = Find(id);
    if (record == nullptr) {
      continue;
    }
    if (record->mState == AttemptState::kRunning) {
      mRecordOrder.push_back(id);
      continue;
    }
    if (record->mAnswer) {
      mAnswerBytes -= record->mAnswer->mBody.size();
    }
    auto& entry = mEntries[{ id.Box(), id.BoxIncarnation() }];
    entry.mWatermark = std::max(entry.mWatermark, id.Sequence());
    entry.mRecords.erase(id.Sequence());
  }
}

void
AttemptRegistry::TrimAnswers()
{
  while (mAnswerBytes > mOptions.mMaxAnswerBytes && !mAnswerOrder.empty()) {
    auto* record = Find(mAnswerOrder.front());
    mAnswerOrder.pop_front();
    if (record != nullptr && record->mAnswer) {
      mAnswerBytes -= record->mAnswer->mBody.size();
      record->mAnswer.reset();
    }
  }
  while (mAnswerOrder.size() > mOptions.mMaxRecords) {
    mAnswerOrder.pop_front();
  }
}

void
AttemptRegistry::DropIdle(TimePoint aNow)
{
  if (aNow < mNextIdleScan) {
    return;
  }
  mNextIdleScan = aNow + kIdleScanInterval;
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto& [key, entry] = *it;
    const bool idle = entry.mRecords.empty() &&
                      aNow - entry.mLastUse > mOptions.mIdleIncarnationTimeout;
    if (!idle) {
      ++it;
      continue;
    }
    auto& dropped = mDroppedIncarnations[key.mBox];
    dropped = std::max(dropped, key.mIncarnation);
    it = mEntries.erase(it);
  }
}

} // namespace porttiller
