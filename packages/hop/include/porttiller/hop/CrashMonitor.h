// What this box knows of requests that crash backend servers: shared by its
// entry, its home and the controller that exchanges records with other boxes.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/policy/CrashAttribution.h"
#include "porttiller/policy/CrashTable.h"

#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

// Owned by the node. Thread-safe. Logs each change of a verdict.
class CrashMonitor
{
public:
  // What a record was learned from, for the log.
  enum class Source
  {
    kHop,  // sent along with a request or its answer
    kPeer, // from another box's controller
    kStore // read at start
  };

  explicit CrashMonitor(CrashTableOptions aOptions = {})
    : mTable(aOptions)
  {
  }

  CrashState StateOf(const RequestDigest& aDigest) const;
  // Up to kMaxHopEvents crashes that are known of the request.
  std::vector<CrashEvent> EventsOf(const RequestDigest& aDigest) const;

  // From the home: one of its servers crashed while these requests ran. aCrash
  // is the crash's random ID.
  void OnServerCrash(std::uint64_t aCrash,
                     const ServerIncarnation& aServer,
                     const std::vector<CrashSuspect>& aSuspects);
  // From the home: a server answered the request in full.
  void OnAnswered(const RequestDigest& aDigest);
  void Learn(const CrashRecord& aRecord, Source aSource);
  // From an operator; false if nothing counts against the request.
  bool Clear(const RequestDigest& aDigest);

  // Crashes at this home whose report is due. Each is reported kReports times,
  // as messages may get lost.
  std::vector<CrashRecord> TakeReports(std::size_t aMost);
  // Shared records that changed since the last call.
  std::vector<CrashRecord> TakeChanged(std::size_t aMost);
  // As in CrashTable.
  std::vector<CrashRecord> SharedRecords(std::size_t aMost) const;
  std::uint64_t SharedDigest() const;
  std::size_t Size() const;
  std::size_t Quarantined() const;
  void DropOld();

  // "DIGEST=VERDICT/CRASHES/PAUSE" of up to aMost shared records.
  std::string Dump(std::size_t aMost) const;

  static constexpr std::size_t kMaxHopEvents = 6;
  static constexpr int kReports = 3;

private:
  struct Report
  {
    CrashRecord mRecord;
    TimePoint mDue;
    int mLeft = kReports;
  };

  void MergeLocked(const CrashRecord& aRecord,
                   const char* aSource,
                   TimePoint aNow);
  void NoteChange(const RequestDigest& aDigest,
                  const CrashState& aBefore,
                  const char* aSource,
                  TimePoint aNow);

  mutable std::mutex mMutex;
  CrashTable mTable;                // under mMutex
  std::set<RequestDigest> mChanged; // under mMutex
  std::deque<Report> mReports;      // under mMutex
};

} // namespace porttiller
