#include "porttiller/telemetry/Metrics.h"

#include <prometheus/text_serializer.h>

namespace porttiller {

namespace {

prometheus::Family<prometheus::Counter>&
CounterFamily(prometheus::Registry& aRegistry,
              const char* aName,
              const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Counter*
MakeCounter(prometheus::Registry& aRegistry,
            const char* aName,
            const char* aHelp)
{
  return &CounterFamily(aRegistry, aName, aHelp).Add({});
}

prometheus::Gauge*
MakeGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return &prometheus::BuildGauge()
            .Name(aName)
            .Help(aHelp)
            .Register(aRegistry)
            .Add({});
}

const prometheus::Histogram::BucketBoundaries kAddedLatencyBucketsS = {
  0.0001, 0.0002, 0.0003, 0.0005, 0.00075, 0.0011,
  0.0015, 0.002,  0.005,  0.01,   0.05,    0.25
};

} // namespace

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRetries(MakeCounter(*mRegistry,
                         "porttiller_retries_total",
                         "Second and later attempts"))
  , mHedgedAttempts(MakeCounter(*mRegistry,
                                "porttiller_races_total",
                                "Attempts sent while an earlier one took long"))
  , mEntryWaits(MakeCounter(*mRegistry,
                            "porttiller_entry_waits_total",
                            "Requests that waited for a home to accept them"))
  , mRevokes(MakeCounter(*mRegistry,
                         "porttiller_revokes_total",
                         "Attempts whose home was asked to revoke them"))
  , mOverLimit(MakeCounter(*mRegistry,
                           "porttiller_over_limit_total",
                           "Requests beyond the limit of their workspace"))
  , mUnsentRejections(
      MakeCounter(*mRegistry,
                  "porttiller_unsent_rejections_total",
                  "Requests rejected as unread answers fill their memory"))
  , mMemoryRejections(
      MakeCounter(*mRegistry,
                  "porttiller_memory_rejections_total",
                  "Requests rejected as there was no room for their bodies"))
  , mBodyBytes(&prometheus::BuildGauge()
                  .Name("porttiller_body_reserved_bytes")
                  .Help("Bytes reserved for message bodies, by kind")
                  .Register(*mRegistry))
  , mBodiesWaiting(&prometheus::BuildGauge()
                      .Name("porttiller_bodies_waiting")
                      .Help("Message bodies that wait for room, by kind")
                      .Register(*mRegistry))
  , mSlowReaders(MakeCounter(*mRegistry,
                             "porttiller_slow_readers_total",
                             "Callers disconnected for reading too slowly"))
  , mDroppedAnswers(MakeCounter(*mRegistry,
                                "porttiller_dropped_answers_total",
                                "Answers that were late, foreign or cut"))
  , mPlatformCalls(MakeCounter(*mRegistry,
                               "porttiller_store_calls_total",
                               "Calls to the platform's object API"))
  , mFloorRejections(MakeCounter(*mRegistry,
                                 "porttiller_floor_refusals_total",
                                 "Ejections that the floor did not allow"))
  , mEjections(MakeCounter(*mRegistry,
                           "porttiller_ejections_total",
                           "Backend servers ejected by this home"))
  , mDemotions(MakeCounter(*mRegistry,
                           "porttiller_demotions_total",
                           "Backend servers demoted by this home"))
  , mAddedLatency(
      &prometheus::BuildHistogram()
         .Name("porttiller_added_latency_seconds")
         .Help("Time added to a request, less its home's time on it")
         .Register(*mRegistry)
         .Add({}, kAddedLatencyBucketsS))
  , mConfigRevision(MakeGauge(*mRegistry,
                              "porttiller_config_revision",
                              "Configuration revision in force"))
  , mControlSent(MakeGauge(*mRegistry,
                           "porttiller_control_sent_bytes",
                           "Control bytes sent to other boxes"))
  , mControlSentByKind(
      &prometheus::BuildGauge()
         .Name("porttiller_control_sent_bytes_by_kind")
         .Help("Control bytes sent to other boxes, by kind of message")
         .Register(*mRegistry))
  , mControlReceived(MakeGauge(*mRegistry,
                               "porttiller_control_received_bytes",
                               "Control bytes received from other boxes"))
  , mLateReplies(MakeGauge(*mRegistry,
                           "porttiller_late_replies",
                           "Control replies that nobody waited for"))
  , mReplacedLinks(
      MakeGauge(*mRegistry,
                "porttiller_control_links_replaced",
                "Control links that went silent and were made anew"))
  , mUnansweredRequests(MakeGauge(*mRegistry,
                                  "porttiller_control_unanswered",
                                  "Control requests without a reply in time"))
  , mLimitedWorkspaces(
      MakeGauge(*mRegistry,
                "porttiller_limited_workspaces",
                "Workspaces held to a share, as this box collects"))
  , mUnreadableMessages(MakeGauge(*mRegistry,
                                  "porttiller_control_unreadable",
                                  "Control messages that could not be read"))
  , mLogLinesDropped(
      MakeGauge(*mRegistry,
                "porttiller_log_lines_dropped",
                "Log lines that the reader of the output did not take"))
  , mCrashRecords(MakeGauge(*mRegistry,
                            "porttiller_crash_records",
                            "Requests that ran at a crash of a server"))
  , mQuarantinedRequests(
      MakeGauge(*mRegistry,
                "porttiller_quarantined_requests",
                "Requests rejected because they crashed servers"))
  , mHedgesAdmitted(MakeGauge(*mRegistry,
                              "porttiller_hedges_admitted",
                              "Hedges that ran at servers of this box"))
  , mHedgesRejected(MakeGauge(*mRegistry,
                              "porttiller_hedges_rejected",
                              "Hedges for which no retry was left here"))
  , mMalformedAnswers(
      MakeGauge(*mRegistry,
                "porttiller_malformed_answers",
                "Answers of servers here that were no valid HTTP"))
  , mLimitedServers(MakeGauge(*mRegistry,
                              "porttiller_limited_servers",
                              "Backend servers here that name a limit"))
  , mServerLimit(MakeGauge(*mRegistry,
                           "porttiller_server_limit_per_second",
                           "Sum of the limits that servers here name"))
  , mLimitedServersSent(
      MakeGauge(*mRegistry,
                "porttiller_limited_servers_sent",
                "Requests sent to servers with a limit in the last 4 s"))
{
  auto& requests = CounterFamily(
    *mRegistry, "porttiller_requests_total", "Requests answered to callers");
  for (std::size_t i = 0; i < mRequests.size(); ++i) {
    const auto outcome = static_cast<Outcome>(i);
    mRequests.at(i) =
      &requests.Add({ { "outcome", std::string(ToText(outcome)) } });
  }
  auto& refusals = CounterFamily(
    *mRegistry, "porttiller_refusals_total", "Attempts that homes refused");
  for (std::size_t i = 0; i < mRejections.size(); ++i) {
    const auto reason = static_cast<RejectReason>(i);
    mRejections.at(i) =
      &refusals.Add({ { "reason", std::string(ToText(reason)) } });
  }
  auto& unreadable =
    CounterFamily(*mRegistry,
                  "porttiller_unreadable_objects_total",
                  "Objects of the store or of peers that were left out");
  for (std::size_t i = 0; i < mUnreadable.size(); ++i) {
    const auto reason = static_cast<UnreadableReason>(i);
    mUnreadable.at(i) =
      &unreadable.Add({ { "reason", std::string(ToText(reason)) } });
  }
  auto& deltas = CounterFamily(*mRegistry,
                               "porttiller_refused_deltas_total",
                               "Deltas of the configuration not taken over");
  for (std::size_t i = 0; i < mRejectedDeltas.size(); ++i) {
    const auto error = static_cast<ApplyError>(i);
    mRejectedDeltas.at(i) =
      &deltas.Add({ { "reason", std::string(ToText(error)) } });
  }
}

void
Metrics::CountRequest(Outcome aOutcome)
{
  mRequests.at(static_cast<std::size_t>(aOutcome))->Increment();
}

void
Metrics::CountRejection(RejectReason aRejectReason)
{
  mRejections.at(static_cast<std::size_t>(aRejectReason))->Increment();
}

void
Metrics::CountUnreadable(UnreadableReason aReason)
{
  mUnreadable.at(static_cast<std::size_t>(aReason))->Increment();
}

void
Metrics::CountRejectedDelta(ApplyError aError)
{
  mRejectedDeltas.at(static_cast<std::size_t>(aError))->Increment();
}

prometheus::Gauge&
Metrics::ControlBytesSentOf(const std::string& aKind)
{
  return mControlSentByKind->Add({ { "kind", aKind } });
}

prometheus::Gauge&
Metrics::BodyBytesOf(const std::string& aKind)
{
  return mBodyBytes->Add({ { "kind", aKind } });
}

prometheus::Gauge&
Metrics::BodiesWaitingOf(const std::string& aKind)
{
  return mBodiesWaiting->Add({ { "kind", aKind } });
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace porttiller
