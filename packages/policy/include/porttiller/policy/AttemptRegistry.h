// What a home knows of each attempt that was sent to it: the record behind
// "runs at most once" and behind a true "not-run".
//
// Memory is bounded. A record that is dropped leaves a watermark for its entry
// incarnation: attempts at or below it that have no record are never run and
// never called not-run.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace porttiller {

// The answer of a finished attempt, kept for a caller that asks again.
struct RecordedAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::string mRequestKey; // only a caller that shows it may read the answer
};

using RecordedAnswerPtr = std::shared_ptr<const RecordedAnswer>;

enum class AdmitVerdict
{
  kAdmitted,
  kDuplicate, // already admitted once: must not run again
  kRevoked,   // revoked before it arrived: was not run and will not be
  kStale      // too old to know: must not run
};

enum class AttemptState
{
  kNotRun,   // revoked or refused; recorded, so it never will be
  kRunning,  // admitted and not finished
  kFinished, // ended; Outcome and answer tell how
  kForgotten // nothing can be said
};

struct AttemptReport
{
  AttemptState mState = AttemptState::kForgotten;
  Outcome mOutcome = Outcome::kUnknown; // meaningful when kFinished
  RecordedAnswerPtr mAnswer;            // null when not kept
};

struct AttemptRegistryOptions
{
  std::size_t mMaxRecords = 8192;
  std::size_t mMaxAnswerBytes = 1 << 20; // over all kept answers
  Millis mIdleIncarnation{ 3'600'000 };  // entry lives forgotten after this
};

// One shard of a home's record. Not thread-safe: its owner holds a lock.
class AttemptRegistry
{
public:
  explicit AttemptRegistry(AttemptRegistryOptions aOptions = {});

  // Call before anything is handed to a backend server; only kAdmitted may be.
  AdmitVerdict Admit(const AttemptId& aId, TimePoint aNow);

  // An admitted attempt ends without having been handed over.
  void Refuse(const AttemptId& aId);

  // An admitted attempt ends; aAnswer may be null.
  void Finish(const AttemptId& aId,
              Outcome aOutcome,
              RecordedAnswerPtr aAnswer);

  // Makes sure that the attempt never runs if it has not been admitted yet.
  AttemptReport Revoke(const AttemptId& aId, TimePoint aNow);

  // Reads without changing anything.
  AttemptReport Query(const AttemptId& aId) const;

  std::size_t Size() const { return mOrder.size(); }
  std::size_t AnswerBytes() const { return mAnswerBytes; }

private:
  struct EntryKey
  {
    BoxName mBox;
    Incarnation mIncarnation;
    friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
  };

  struct Record
  {
    AttemptState mState = AttemptState::kRunning;
    Outcome mOutcome = Outcome::kUnknown;
    RecordedAnswerPtr mAnswer;
  };

  struct Entry
  {
    std::map<std::uint64_t, Record> mRecords; // by sequence
    std::uint64_t mWatermark = 0;
    TimePoint mLastUse;
  };

  Entry& Touch(const AttemptId& aId, TimePoint aNow);
  Record* Find(const AttemptId& aId);
  const Record* Find(const AttemptId& aId) const;
  bool BelowWatermark(const AttemptId& aId) const;
  void Insert(const AttemptId& aId, AttemptState aState, TimePoint aNow);
  void Trim();
  void TrimAnswers();
  void DropIdle(TimePoint aNow);

  AttemptRegistryOptions mOptions;
  std::map<EntryKey, Entry> mEntries;
  // The latest life of each box that was forgotten: unknown lives up to it
  // are too old to tell. Lives are numbered by time.
  std::map<BoxName, Incarnation> mForgotten;
  std::deque<AttemptId> mOrder;   // oldest record first
  std::deque<AttemptId> mAnswers; // oldest kept answer first
  std::size_t mAnswerBytes = 0;
  TimePoint mNextIdleScan;
};

} // namespace porttiller
