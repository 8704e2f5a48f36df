#include "porttiller/policy/UseReporter.h"

#include <iterator>
#include <utility>

namespace porttiller {

UseReporter::UseReporter(UseReporterOptions aOptions)
  : mOptions(aOptions)
{
}

// What the earlier collector has not confirmed may be lost with it.
void
UseReporter::MoveTo(const BoxName& aCollector, LimitGate& aGate)
{
  if (mCollector == aCollector) {
    return;
  }
  mCollector = aCollector;
  mAsked = false;
  mAskedAt.reset();
  aGate.PutBack(std::exchange(mAskedFor, {}));
  aGate.PutBack(std::exchange(mSince, {}));
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
  MoveTo(aCollectors.at(avoid ? 1 : 0), aGate);
  UseReport report{ .mCollector = mCollector, .mUses = aGate.TakeUse(aNow) };
  if (!report.mUses.empty()) {
    mUsedAt = aNow;
    mSince.insert(mSince.end(), report.mUses.begin(), report.mUses.end());
  }
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
UseReporter::OnReply(std::uint64_t aQuestion,
                     bool aReplied,
                     LimitGate& aGate,
                     TimePoint aNow)
{
  if (!mAsked || aQuestion != mQuestions) {
    return; // of a collector that was left meanwhile
  }
  mAsked = false;
  const auto askedFor = std::exchange(mAskedFor, {});
  if (aReplied) {
    return;
  }
  aGate.PutBack(askedFor);
  aGate.PutBack(std::exchange(mSince, {}));
  mAskedAt.reset();
  const bool firstFailed = mAvoidUntil <= aNow;
  mAvoidUntil = firstFailed ? aNow + mOptions.mAvoidFor : aNow;
}

} // namespace porttiller
