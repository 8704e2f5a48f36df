#include "fleet/Traffic.h"

#include "porttiller/hop/HopHeaders.h"

#include <atomic>
#include <thread>

namespace porttiller::fleet {

namespace {

// How long after its deadline a request may be answered.
constexpr Millis kAnswerSlack{ 8000 };
constexpr int kFirstServerErrorStatus = 500;

bool
IsOwnEcho(const Fleet& aFleet, const RequestRecord& aRecord)
{
  for (int i = 0; i < aFleet.ServerCount(); ++i) {
    if (aRecord.mReply.mBody ==
        standin::EchoOf(Fleet::ServerName(i), aRecord.mId, aRecord.mBody)) {
      return true;
    }
  }
  return false;
}

void
CheckRecord(const Fleet& aFleet,
            const RequestRecord& aRecord,
            bool aRepeatable,
            TrafficSummary& aSummary)
{
  const auto runs = aFleet.RunsOf(aRecord.mId);
  const auto addViolation = [&](const char* aWhat) {
    aSummary.mViolations.push_back(aRecord.mId + ": " + aWhat + ", status " +
                                   std::to_string(aRecord.mReply.mStatus) +
                                   ", runs " + std::to_string(runs));
  };
  const auto& reply = aRecord.mReply;
  if (!aRepeatable && runs > 1) {
    addViolation("ran more than once");
  }
  if (reply.mStatus == 0) {
    ++aSummary.mNoAnswer;
  } else if (reply.mOutcome == "run") {
    ++aSummary.mRun;
    if (runs == 0) {
      addViolation("reported as run but did not run");
    }
    if (reply.mStatus < kFirstServerErrorStatus &&
        !IsOwnEcho(aFleet, aRecord)) {
      addViolation("answer is incomplete or belongs to another request");
    }
  } else if (reply.mOutcome == "not-run") {
    ++aSummary.mNotRun;
    if (runs != 0) {
      addViolation("reported as not-run but ran");
    }
    if (HeaderValue(reply.mHeaders, "Retry-After").empty()) {
      addViolation("rejected without Retry-After");
    }
  } else if (reply.mOutcome == "unknown") {
    ++aSummary.mUnknown;
  } else {
    addViolation("answer has no outcome header");
  }
}

} // namespace

std::vector<RequestRecord>
SendTraffic(Fleet& aFleet, const TrafficOptions& aOptions)
{
  std::vector<RequestRecord> records(
    static_cast<std::size_t>(aOptions.mRequests));
  std::atomic<std::size_t> next{ 0 };
  const auto send = [&] {
    for (auto i = next++; i < records.size(); i = next++) {
      auto& record = records[i];
      record.mId = aOptions.mIdPrefix + "-" + std::to_string(i);
      record.mBody = aOptions.mMethod == "GET" ? "" : "amount of " + record.mId;
      const auto entry = aOptions.mEntries[i % aOptions.mEntries.size()];
      record.mReply = aFleet.Send(
        entry,
        aOptions.mMethod,
        aOptions.mTarget,
        record.mBody,
        { { "X-Request-Id", record.mId },
          { hop::kDeadlineMs, std::to_string(aOptions.mDeadline.count()) },
          { hop::kRequestKey, "key-" + record.mId } },
        aOptions.mDeadline + kAnswerSlack);
      std::this_thread::sleep_for(aOptions.mGap);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aOptions.mThreads));
  for (int i = 0; i < aOptions.mThreads; ++i) {
    threads.emplace_back(send);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return records;
}

TrafficSummary
CheckTraffic(const Fleet& aFleet,
             const std::vector<RequestRecord>& aRecords,
             const TrafficOptions& aOptions)
{
  TrafficSummary summary;
  for (const auto& record : aRecords) {
    CheckRecord(aFleet, record, aOptions.mMethod == "GET", summary);
  }
  return summary;
}

std::string
ToText(const TrafficSummary& aSummary)
{
  std::string text = "run=" + std::to_string(aSummary.mRun) +
                     " not-run=" + std::to_string(aSummary.mNotRun) +
                     " unknown=" + std::to_string(aSummary.mUnknown) +
                     " no-answer=" + std::to_string(aSummary.mNoAnswer);
  for (const auto& violation : aSummary.mViolations) {
    text += "\n  violation: " + violation;
  }
  return text;
}

} // namespace porttiller::fleet
