#include "porttiller/policy/UseReporter.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// Unconfirmed counts are sent again after up to this many consecutive missing
// replies.
constexpr int kMaxResends = 1;

} // namespace

UseReporter::UseReporter(UseReporterOptions aOptions)
  : mOptions(aOptions)
  , mNextAvoidFor(aOptions.mAvoidFor)
{
}

void
UseReporter::QueueResend()
{
  for (auto* uses : { &mAwaitingReply, &mSentAfterRequest }) {
    mResend.insert(mResend.end(), uses->begin(), uses->end());
    uses->clear();
  }
}

// Counts that the previous collector has not confirmed may be lost with it.
void
UseReporter::SwitchTo(const BoxName& aCollector)
{
  if (mCollector == aCollector) {
    return;
  }
  mCollector = aCollector;
  mReplyPending = false;
  mRequestedAt.reset();
  QueueResend();
}

std::optional<UseReport>
UseReporter::Next(LimitGate& aGate,
                  const std::vector<BoxName>& aCollectors,
                  TimePoint aNow)
{
  if (aCollectors.empty()) {
    return std::nullopt;
  }
  const bool avoid = aNow < mAvoidUntil && aCollectors.size() > 1;
  SwitchTo(aCollectors.at(avoid ? 1 : 0));
  UseReport report{ .mCollector = mCollector,
                    .mUses = aGate.TakeUnreportedUse(aNow) };
  if (!report.mUses.empty()) {
    mLastUsedAt = aNow;
    mSentAfterRequest.insert(
      mSentAfterRequest.end(), report.mUses.begin(), report.mUses.end());
  }
  report.mUses.insert(report.mUses.end(), mResend.begin(), mResend.end());
  mResend.clear();
  const bool idle = !mLastUsedAt || *mLastUsedAt + mOptions.mIdleAfter < aNow;
  const bool due =
    !mRequestedAt || *mRequestedAt + mOptions.mReplyInterval <= aNow;
  if (!mReplyPending && due && !idle) {
    mReplyPending = true;
    mRequestedAt = aNow;
    report.mReplyToken = ++mLastReplyToken;
    mAwaitingReply = std::exchange(mSentAfterRequest, {});
  }
  if (report.mUses.empty() && report.mReplyToken == 0) {
    return std::nullopt;
  }
  return report;
}

void
UseReporter::OnReply(std::uint64_t aReplyToken, bool aReplied, TimePoint aNow)
{
  if (!mReplyPending || aReplyToken != mLastReplyToken) {
    return; // from a collector that is no longer in use
  }
  mReplyPending = false;
  const bool isFirst = mAvoidUntil <= aNow;
  if (aReplied) {
    mAwaitingReply.clear();
    mFailures = 0;
    mNextAvoidFor = isFirst ? mOptions.mAvoidFor : mNextAvoidFor;
    return;
  }
  // If neither collector replies, either replies are lost or all messages;
  // sending the counts again would not help.
  if (++mFailures <= kMaxResends) {
    QueueResend();
  } else {
    mAwaitingReply.clear();
    mSentAfterRequest.clear();
  }
  mRequestedAt.reset();
  mAvoidUntil = isFirst ? aNow + mNextAvoidFor : aNow;
  if (isFirst) {
    mNextAvoidFor = std::min(mNextAvoidFor * 2, mOptions.mMaxAvoidFor);
  }
}

} // namespace porttiller
