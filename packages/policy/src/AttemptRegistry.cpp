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
  const auto forgotten = mForgotten.find(aId.Box());
  return forgotten != mForgotten.end() &&
         aId.BoxIncarnation() <= forgotten->second;
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
  mOrder.push_back(aId);
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
AttemptRegistry::Refuse(const AttemptId& aId)
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
  if (aAnswer) {
    mAnswerBytes += aAnswer->mBody.size();
    record->mAnswer = std::move(aAnswer);
    mAnswers.push_back(aId);
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
  // Running attempts are bounded by slots; they stay and are passed over.
  std::size_t toLookAt = mOrder.size();
  while (mOrder.size() > mOptions.mMaxRecords && toLookAt-- > 0) {
    const auto id = mOrder.front();
    mOrder.pop_front();
    const auto* record = Find(id);
    if (record == nullptr) {
      continue;
    }
    if (record->mState == AttemptState::kRunning) {
      mOrder.push_back(id);
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
  while (mAnswerBytes > mOptions.mMaxAnswerBytes && !mAnswers.empty()) {
    auto* record = Find(mAnswers.front());
    mAnswers.pop_front();
    if (record != nullptr && record->mAnswer) {
      mAnswerBytes -= record->mAnswer->mBody.size();
      record->mAnswer.reset();
    }
  }
  while (mAnswers.size() > mOptions.mMaxRecords) {
    mAnswers.pop_front();
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
                      aNow - entry.mLastUse > mOptions.mIdleIncarnation;
    if (!idle) {
      ++it;
      continue;
    }
    auto& forgotten = mForgotten[key.mBox];
    forgotten = std::max(forgotten, key.mIncarnation);
    it = mEntries.erase(it);
  }
}

} // namespace porttiller
