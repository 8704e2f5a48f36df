#include "fleet/Traffic.h"

#include "porttiller/hop/HopHeaders.h"

#include <atomic>
#include <thread>

namespace porttiller::fleet {

namespace {

constexpr Millis kAnswerSlack{ 8000 };
constexpr int kServerErrors = 500;

bool
IsOwnEcho(const Fleet& aFleet, const Record& aRecord)
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
JudgeOne(const Fleet& aFleet,
         const Record& aRecord,
         bool aRepeatable,
         Verdict& aVerdict)
{
  const auto runs = aFleet.RunsOf(aRecord.mId);
  const auto broken = [&](const char* aWhat) {
    aVerdict.mBroken.push_back(aRecord.mId + ": " + aWhat + ", status " +
                               std::to_string(aRecord.mReply.mStatus) +
                               ", runs " + std::to_string(runs));
  };
  const auto& reply = aRecord.mReply;
  if (!aRepeatable && runs > 1) {
    broken("ran more than once");
  }
  if (reply.mStatus == 0) {
    ++aVerdict.mNoAnswer;
  } else if (reply.mOutcome == "run") {
    ++aVerdict.mRun;
    if (runs == 0) {
      broken("said run, did not run");
    }
    if (reply.mStatus < kServerErrors && !IsOwnEcho(aFleet, aRecord)) {
      broken("not the whole answer to its own request");
    }
  } else if (reply.mOutcome == "not-run") {
    ++aVerdict.mNotRun;
    if (runs != 0) {
      broken("said not-run, ran");
    }
    if (HeaderValue(reply.mHeaders, "Retry-After").empty()) {
      broken("refused without Retry-After");
    }
  } else if (reply.mOutcome == "unknown") {
    ++aVerdict.mUnknown;
  } else {
    broken("no outcome");
  }
}

} // namespace

std::vector<Record>
SendTraffic(Fleet& aFleet, const TrafficOptions& aOptions)
{
  std::vector<Record> records(static_cast<std::size_t>(aOptions.mRequests));
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

Verdict
Judge(const Fleet& aFleet,
      const std::vector<Record>& aRecords,
      const TrafficOptions& aOptions)
{
  Verdict verdict;
  for (const auto& record : aRecords) {
    JudgeOne(aFleet, record, aOptions.mMethod == "GET", verdict);
  }
  return verdict;
}

std::string
ToText(const Verdict& aVerdict)
{
  std::string text = "run=" + std::to_string(aVerdict.mRun) +
                     " not-run=" + std::to_string(aVerdict.mNotRun) +
                     " unknown=" + std::to_string(aVerdict.mUnknown) +
                     " no-answer=" + std::to_string(aVerdict.mNoAnswer);
  for (const auto& broken : aVerdict.mBroken) {
    text += "\n  broken: " + broken;
  }
  return text;
}

} // namespace porttiller::fleet
