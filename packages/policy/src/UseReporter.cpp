#include "porttiller/policy/UseReporter.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// In a row, after which something is told again.
constexpr int kTellingFailures = 1;

} // namespace

UseReporter::UseReporter(UseReporterOptions aOptions)
  : mOptions(aOptions)
  , mAvoidNext(aOptions.mAvoidFor)
{
}

void
UseReporter::TellAgain()
{
  for (auto* uses : { &mAskedFor, &mSince }) {
    mAgain.insert(mAgain.end(), uses->begin(), uses->end());
    uses->clear();
  }
}

// What the earlier collector has not confirmed may be lost with it.
void
UseReporter::MoveTo(const BoxName& aCollector)
{
  if (mCollector == aCollector) {
    return;
  }
  mCollector = aCollector;
  mAsked = false;
  mAskedAt.reset();
  TellAgain();
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
  MoveTo(aCollectors.at(avoid ? 1 : 0));
  UseReport report{ .mCollector = mCollector, .mUses = aGate.TakeUse(aNow) };
  if (!report.mUses.empty()) {
    mUsedAt = aNow;
    mSince.insert(mSince.end(), report.mUses.begin(), report.mUses.end());
  }
  report.mUses.insert(report.mUses.end(), mAgain.begin(), mAgain.end());
  mAgain.clear();
  const bool resting = !mUsedAt || *mUsedAt + mOptions.mRestAfter < aNow;
  const bool due = !mAskedAt || *mAskedAt + mOptions.mReplyEvery <= aNow;
  if (!mAsked && due && !resting) {
    mAsked = true;
    mAskedAt = aNow;
    report.mQuestion = ++mQuestions;
    mAskedFor = std::exchange(mSince, {});
  }
  if (report.mUses.empty() && report.mQuestion == 0) {
    return std::nullopt;
  }
  return report;
}

void
UseReporter::OnReply(std::uint64_t aQuestion, bool aReplied, TimePoint aNow)
{
  if (!mAsked || aQuestion != mQuestions) {
    return; // of a collector that was left meanwhile
  }
  mAsked = false;
  const bool isFirst = mAvoidUntil <= aNow;
  if (aReplied) {
    mAskedFor.clear();
    mFailures = 0;
    mAvoidNext = isFirst ? mOptions.mAvoidFor : mAvoidNext;
    return;
  }
  // With both collectors silent it is replies that get lost, or everything.
  if (++mFailures <= kTellingFailures) {
    TellAgain();
  } else {
    mAskedFor.clear();
    mSince.clear();
  }
  mAskedAt.reset();
  mAvoidUntil = isFirst ? aNow + mAvoidNext : aNow;
  if (isFirst) {
    mAvoidNext = std::min(mAvoidNext * 2, mOptions.mMaxAvoidFor);
  }
}

} // namespace porttiller
