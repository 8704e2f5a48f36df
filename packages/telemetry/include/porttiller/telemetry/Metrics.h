// The daemon's metrics, exported at /metrics.
#pragma once

#include "porttiller/config/ObjectSet.h"
#include "porttiller/config/UnreadableObject.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/RejectReason.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace porttiller {

// Owned by the node; every member may be used from any thread.
class Metrics
{
public:
  Metrics();

  void CountRequest(Outcome aOutcome);
  void CountRejection(RejectReason aRejectReason);
  // An object of the store or a record of a peer that was skipped.
  void CountUnreadable(UnreadableReason aReason);
  // A configuration delta that was not applied.
  void CountRejectedDelta(ApplyError aError);
  prometheus::Counter& Retries() { return *mRetries; }
  // Hedges: attempts at a second server while the first one is unusually slow.
  prometheus::Counter& HedgedAttempts() { return *mHedgedAttempts; }
  // Long requests that waited at the entry as no home accepted them.
  prometheus::Counter& EntryWaits() { return *mEntryWaits; }
  prometheus::Counter& Revokes() { return *mRevokes; }
  // Requests rejected with 429 because their workspace is over its limit.
  prometheus::Counter& OverLimit() { return *mOverLimit; }
  // Workspaces that this box, as their collector, limits to an admitted share.
  prometheus::Gauge& LimitedWorkspaces() { return *mLimitedWorkspaces; }
  // Requests rejected because answers that callers do not read fill the memory
  // for them.
  prometheus::Counter& UnsentRejections() { return *mUnsentRejections; }
  // Requests rejected because there was no room for their bodies.
  prometheus::Counter& MemoryRejections() { return *mMemoryRejections; }
  // Bytes that message bodies have reserved, and bodies that wait for room.
  // aKind is a share of MemoryPlan.
  prometheus::Gauge& BodyBytesOf(const std::string& aKind);
  prometheus::Gauge& BodiesWaitingOf(const std::string& aKind);
  // Callers' connections closed because an answer was read too slowly.
  prometheus::Counter& SlowReaders() { return *mSlowReaders; }
  prometheus::Counter& DroppedAnswers() { return *mDroppedAnswers; }
  prometheus::Counter& PlatformCalls() { return *mPlatformCalls; }
  prometheus::Counter& FloorRejections() { return *mFloorRejections; }
  prometheus::Counter& Ejections() { return *mEjections; }
  prometheus::Counter& Demotions() { return *mDemotions; }
  // Seconds from a caller's request to its answer, minus the time spent at its
  // home.
  prometheus::Histogram& AddedLatency() { return *mAddedLatency; }
  prometheus::Gauge& ConfigRevision() { return *mConfigRevision; }
  // aKind is a group of control messages; see ToText in PeerTransport.h.
  prometheus::Gauge& ControlBytesSentOf(const std::string& aKind);
  prometheus::Gauge& ControlBytesSent() { return *mControlSent; }
  prometheus::Gauge& ControlBytesReceived() { return *mControlReceived; }
  prometheus::Gauge& LateReplies() { return *mLateReplies; }
  prometheus::Gauge& ReplacedLinks() { return *mReplacedLinks; }
  prometheus::Gauge& UnansweredRequests() { return *mUnansweredRequests; }
  prometheus::Gauge& UnreadableMessages() { return *mUnreadableMessages; }
  // Log lines that the reader of standard output did not take in time.
  prometheus::Gauge& LogLinesDropped() { return *mLogLinesDropped; }

  // Requests that ran at a crash of a backend server, and those of them that
  // are quarantined.
  prometheus::Gauge& CrashRecords() { return *mCrashRecords; }
  prometheus::Gauge& QuarantinedRequests() { return *mQuarantinedRequests; }

  // Hedges that this box's servers were sent, and those that its retry budgets
  // withheld, since its start.
  prometheus::Gauge& HedgesAdmitted() { return *mHedgesAdmitted; }
  prometheus::Gauge& HedgesRejected() { return *mHedgesRejected; }
  // Answers of this box's servers that were no valid HTTP, since its start.
  prometheus::Gauge& MalformedAnswers() { return *mMalformedAnswers; }

  // Of this box's servers: those that name a limit, the sum of their limits in
  // requests per second, and the requests that they were sent in the last 4 s.
  prometheus::Gauge& LimitedServers() { return *mLimitedServers; }
  prometheus::Gauge& ServerLimit() { return *mServerLimit; }
  prometheus::Gauge& LimitedServersSent() { return *mLimitedServersSent; }

  // Prometheus text format.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  std::array<prometheus::Counter*, 3> mRequests{};
  std::array<prometheus::Counter*, kRejectReasonCount> mRejections{};
  std::array<prometheus::Counter*, kUnreadableReasonCount> mUnreadable{};
  std::array<prometheus::Counter*, kApplyErrorCount> mRejectedDeltas{};
  prometheus::Counter* mRetries;
  prometheus::Counter* mHedgedAttempts;
  prometheus::Counter* mEntryWaits;
  prometheus::Counter* mRevokes;
  prometheus::Counter* mOverLimit;
  prometheus::Counter* mUnsentRejections;
  prometheus::Counter* mMemoryRejections;
  prometheus::Family<prometheus::Gauge>* mBodyBytes;
  prometheus::Family<prometheus::Gauge>* mBodiesWaiting;
  prometheus::Counter* mSlowReaders;
  prometheus::Counter* mDroppedAnswers;
  prometheus::Counter* mPlatformCalls;
  prometheus::Counter* mFloorRejections;
  prometheus::Counter* mEjections;
  prometheus::Counter* mDemotions;
  prometheus::Histogram* mAddedLatency;
  prometheus::Gauge* mConfigRevision;
  prometheus::Gauge* mControlSent;
  prometheus::Family<prometheus::Gauge>* mControlSentByKind;
  prometheus::Gauge* mControlReceived;
  prometheus::Gauge* mLateReplies;
  prometheus::Gauge* mReplacedLinks;
  prometheus::Gauge* mUnansweredRequests;
  prometheus::Gauge* mLimitedWorkspaces;
  prometheus::Gauge* mUnreadableMessages;
  prometheus::Gauge* mLogLinesDropped;
  prometheus::Gauge* mCrashRecords;
  prometheus::Gauge* mQuarantinedRequests;
  prometheus::Gauge* mHedgesAdmitted;
  prometheus::Gauge* mHedgesRejected;
  prometheus::Gauge* mMalformedAnswers;
  prometheus::Gauge* mLimitedServers;
  prometheus::Gauge* mServerLimit;
  prometheus::Gauge* mLimitedServersSent;
};

} // namespace porttiller
