// Which requests crash the backend servers that run them. Joins what homes saw
// at single crashes, and decides when a request is quarantined: rejected until
// its pause ends, then tried once.
#pragma once

#include "porttiller/core/RequestDigest.h"
#include "porttiller/core/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace porttiller {

// A request ran at one server's crash.
struct CrashEvent
{
  std::uint64_t mId = 0; // of the server's crash, random; unique in the fleet
  TimePoint mAt;         // on this process's clock
  // The home knew of an earlier crash under the request when it started it.
  // Separates a request that follows its crashes from one whose copies ran
  // everywhere when many servers ended at once.
  bool mAfterCrash = false;
  // The request was answered in full after the crash, or an operator cleared
  // it.
  bool mCleared = false;

  friend auto operator<=>(const CrashEvent&, const CrashEvent&) = default;
};

// What is known of one request. Records of several boxes are merged by event,
// in any order and any number of times.
struct CrashRecord
{
  RequestDigest mDigest;
  std::vector<CrashEvent> mEvents; // by ID

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

// An event of a message that claims to be older is not taken as it stands:
// events are forgotten sooner.
inline constexpr Millis kMaxCrashAge = std::chrono::hours(7 * 24);

enum class CrashVerdict
{
  kClear,       // ran at no crash that still counts
  kSuspect,     // ran at fewer crashes than quarantine needs
  kQuarantined, // must not be sent to a server
  kTrial        // the pause has ended: may be sent once, without a retry
};

std::string_view
ToText(CrashVerdict aVerdict);

struct CrashState
{
  CrashVerdict mVerdict = CrashVerdict::kClear;
  int mCrashes = 0;        // that are not cleared
  Millis mRetryAfter{ 0 }; // with kQuarantined: until the pause ends

  friend auto operator<=>(const CrashState&, const CrashState&) = default;
};

struct CrashTableOptions
{
  int mQuarantineCrashes = 3;
  // Pause after the quarantining crash, and after each failed trial. After the
  // last one there are no more trials.
  std::array<Millis, 3> mPauses{ Millis(60'000),
                                 Millis(600'000),
                                 Millis(3'600'000) };
  // Crashes this long after the quarantining one are failed trials. Earlier
  // ones are of copies that were already on their way.
  Millis mSettleTime{ 5000 };
  Millis mSuspectMemory{ 600'000 };           // since the last crash
  Millis mQuarantineMemory{ 24 * 3'600'000 }; // since the last crash
  std::size_t mMaxRecords = 2048;
  std::size_t mMaxEvents = 16; // of one record
  // Answers that are remembered, to clear requests whose crash is reported
  // after their answer.
  std::size_t mMaxAnswers = 1024;
  Millis mAnswerMemory{ 10'000 };
};

// Not thread-safe.
class CrashTable
{
public:
  explicit CrashTable(CrashTableOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  // Adds what aRecord holds and is not known yet. Returns whether the record
  // here changed.
  bool Merge(const CrashRecord& aRecord, TimePoint aNow);
  // A server answered the request in full. Returns whether crashes were
  // cleared by it.
  bool OnAnswered(const RequestDigest& aDigest, TimePoint aNow);
  // Clears the request by hand; false if nothing counts against it.
  bool Clear(const RequestDigest& aDigest, TimePoint aNow);

  CrashState StateOf(const RequestDigest& aDigest, TimePoint aNow) const;
  // Null if there is no record.
  const CrashRecord* Find(const RequestDigest& aDigest) const;
  // Up to aMost records that concern other boxes, the most important first:
  // those with two crashes or more, also if cleared.
  std::vector<CrashRecord> SharedRecords(std::size_t aMost,
                                         TimePoint aNow) const;
  // A hash over the states of the shared records, equal on boxes that would
  // decide alike. 0: there are none.
  std::uint64_t SharedDigest(TimePoint aNow) const;
  std::size_t Size() const { return mRecords.size(); }
  std::size_t Quarantined(TimePoint aNow) const;
  void DropOld(TimePoint aNow);

private:
  // Orders records by what their loss would cost.
  struct Rank
  {
    bool mQuarantined = false;
    int mCrashes = 0;
    TimePoint mLast;

    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  // The crashes of a record that are not cleared.
  struct Counted
  {
    int mCrashes = 0;
    int mFailedTrials = 0;
    bool mQuarantined = false; // with or without a trial that is due
    TimePoint mLast;           // the last crash, cleared or not
  };

  Counted Count(const CrashRecord& aRecord) const;
  static Rank RankOf(const Counted& aCounted);
  CrashState StateOf(const CrashRecord& aRecord, TimePoint aNow) const;
  bool IsShared(const CrashRecord& aRecord) const;
  bool IsOld(const Counted& aCounted, TimePoint aNow) const;
  bool MakeRoom(const CrashRecord& aRecord);
  bool ClearUntil(const RequestDigest& aDigest, TimePoint aUntil);
  void RememberAnswer(const RequestDigest& aDigest, TimePoint aNow);

  const CrashTableOptions mOptions;
  std::map<RequestDigest, CrashRecord> mRecords;
  std::map<RequestDigest, TimePoint> mAnswers; // the last one of each request
  std::deque<std::pair<TimePoint, RequestDigest>> mAnswerOrder;
};

} // namespace porttiller
