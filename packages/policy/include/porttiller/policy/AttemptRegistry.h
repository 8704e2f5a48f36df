// A home's record of the attempts sent to it. It ensures that an attempt runs
// at most once and that "not-run" is reported only for attempts that never run.
//
// Memory is bounded. Dropping a record raises the watermark of its entry
// incarnation: attempts at or below the watermark without a record are neither
// run nor reported as not run.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace porttiller {

// The answer of a finished attempt, kept for a caller that repeats the request.
struct RecordedAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::string mRequestKey; // a caller must send the same key to get the answer
};

using RecordedAnswerPtr = std::shared_ptr<const RecordedAnswer>;

enum class AdmitVerdict
{
  kAdmitted,
  kDuplicate, // already admitted once: must not run again
  kRevoked,   // revoked before it arrived: was not run and will not be
  kStale      // its record may have been dropped: must not run
};

enum class AttemptState
{
  kNotRun,   // revoked or rejected; recorded, so it never runs
  kRunning,  // admitted and not finished
  kFinished, // see the outcome and the answer
  kForgotten // no record: it may have run or not
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
  // Entry incarnations without records are dropped after this time.
  Millis mIdleIncarnationTimeout{ 3'600'000 };
};

// One shard of a home's records. Not thread-safe: its owner holds a lock.
class AttemptRegistry
{
public:
  explicit AttemptRegistry(AttemptRegistryOptions aOptions = {});

  // Call before anything is sent to a backend server; only an attempt with
  // kAdmitted may be sent.
  AdmitVerdict Admit(const AttemptId& aId, TimePoint aNow);

  // An admitted attempt ends without having been sent to a backend server.
  void Reject(const AttemptId& aId);

  // An admitted attempt ends; aAnswer may be null.
  void Finish(const AttemptId& aId,
              Outcome aOutcome,
              RecordedAnswerPtr aAnswer);

  // Prevents the attempt from running if it has not been admitted yet.
  AttemptReport Revoke(const AttemptId& aId, TimePoint aNow);

  // Reads without changing anything.
  AttemptReport Query(const AttemptId& aId) const;

  std::size_t Size() const { return mRecordOrder.size(); }
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
  // The latest dropped incarnation of each box. Incarnation numbers grow with
  // time, so unknown ones up to it are treated as stale.
  std::map<BoxName, Incarnation> mDroppedIncarnations;
  std::deque<AttemptId> mRecordOrder; // oldest record first
  std::deque<AttemptId> mAnswerOrder; // oldest kept answer first
  std::size_t mAnswerBytes = 0;
  TimePoint mNextIdleScan;
};

} // namespace porttiller
