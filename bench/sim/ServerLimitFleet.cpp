#include "sim/ServerLimitFleet.h"

#include <algorithm>

namespace porttiller::bench {

namespace {

constexpr int kMaxRejected = 4; // attempts of one request before its last ones
constexpr int kLastResortAttempts = 2;
constexpr Millis kLastResortWait{ 300 };
constexpr Millis kSettled{ 4000 }; // until windows count
// Sizes of what the daemons send: a limit in a request or an answer, and a
// server update with its envelope.
constexpr std::uint64_t kNoteBytes = 12;
constexpr std::uint64_t kUpdateBytes = 110;
constexpr double kWindowS = 4.0;
const TimePoint kStart{ Millis(1'000'000) };

double
Seconds(Micros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

ServerLimitFleet::ServerLimitFleet(ServerLimitOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mServers(static_cast<std::size_t>(aOptions.mBoxes))
  , mEntries(static_cast<std::size_t>(aOptions.mBoxes))
{
  for (auto& entry : mEntries) {
    std::vector<std::size_t> all(mServers.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
      all[i] = i;
    }
    std::shuffle(all.begin(), all.end(), mRandom);
    all.resize(
      std::min(all.size(), static_cast<std::size_t>(mOptions.mSubset)));
    for (const auto server : all) {
      entry.mViews.push_back({ .mServer = server });
    }
  }
}

TimePoint
ServerLimitFleet::TurnAfter(const Server& aServer, TimePoint aNow)
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  const Micros interval(aServer.mInterval.Value());
  return aNow + Micros(static_cast<Micros::rep>(
                  factor(mRandom) * static_cast<double>(interval.count())));
}

void
ServerLimitFleet::NameLimits(TimePoint aNow)
{
  mNamed = true;
  std::uniform_real_distribution<double> share(0.0, 1.0);
  std::uniform_real_distribution<double> rate(mOptions.mMinLimit,
                                              mOptions.mMaxLimit);
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    auto& server = mServers[i];
    if (share(mRandom) >= mOptions.mLimitedShare) {
      continue;
    }
    server.mLimit = rate(mRandom);
    server.mPacer.SetRate(server.mLimit, aNow);
    std::vector<View*> senders;
    for (auto& entry : mEntries) {
      for (auto& view : entry.mViews) {
        if (view.mServer == i) {
          senders.push_back(&view);
        }
      }
    }
    server.mInterval.Start(server.mLimit, senders.size());
    if (mOptions.mScheme == LimitScheme::kShared) {
      for (auto* view : senders) {
        view->mLimited = true;
        view->mNextTurn = TurnAfter(server, aNow);
        mBytes += kUpdateBytes;
      }
    }
  }
}

ServerLimitFleet::View*
ServerLimitFleet::Choose(Entry& aEntry,
                         const std::vector<const View*>& aTried,
                         bool aLastResort,
                         TimePoint aNow)
{
  std::vector<View*> open;
  for (auto& view : aEntry.mViews) {
    const bool due = !view.mLimited || aLastResort || aNow >= view.mNextTurn;
    if (due && std::find(aTried.begin(), aTried.end(), &view) == aTried.end()) {
      open.push_back(&view);
    }
  }
  return open.empty() ? nullptr : open[mRandom() % open.size()];
}

// Returns whether the server ran the request.
bool
ServerLimitFleet::Send(View& aView, bool aLastResort, TimePoint aNow)
{
  auto& server = mServers[aView.mServer];
  auto start = aNow;
  bool passes = true;
  if (server.mLimit > 0.0 && mOptions.mScheme != LimitScheme::kIgnored) {
    server.mInterval.OnUnused(server.mPacer.Unused(aNow));
    const auto reserved = server.mPacer.Reserve(
      aLastResort ? Micros(kLastResortWait) : Micros(0), aNow);
    passes = reserved.has_value();
    start = reserved.value_or(aNow);
    if (!passes) {
      server.mInterval.OnRejected();
    }
    if (mOptions.mScheme == LimitScheme::kShared) {
      aView.mNextTurn = TurnAfter(server, aNow);
      mBytes += 2 * kNoteBytes;
    }
  }
  if (passes && server.mLimit > 0.0) {
    server.mRecent.Add(start);
    ++server.mSent;
    if (start >= kStart + mOptions.mLimitedFrom + kSettled) {
      server.mWorst = std::max(server.mWorst, server.mRecent.Count(start));
    }
  }
  return passes;
}

void
ServerLimitFleet::Serve(Entry& aEntry, TimePoint aNow)
{
  std::vector<const View*> tried;
  bool lastResort = false;
  int left = kMaxRejected;
  mRequests += mNamed ? 1 : 0;
  while (left > 0) {
    auto* view = Choose(aEntry, tried, lastResort, aNow);
    if (view == nullptr && !lastResort) {
      lastResort = true;
      left = kLastResortAttempts;
      continue;
    }
    if (view == nullptr) {
      break;
    }
    if (Send(*view, lastResort, aNow)) {
      return;
    }
    ++mRejected;
    tried.push_back(view);
    --left;
  }
  ++mNotServed;
}

ServerLimitOutcome
ServerLimitFleet::Run()
{
  std::exponential_distribution<double> gap(mOptions.mRequestsPerS *
                                            mOptions.mBoxes);
  auto now = kStart;
  while (now < kStart + mOptions.mLength) {
    now += Micros(static_cast<Micros::rep>(gap(mRandom) * 1e6));
    if (!mNamed && now >= kStart + mOptions.mLimitedFrom) {
      NameLimits(now);
    }
    Serve(mEntries[mRandom() % mEntries.size()], now);
  }
  ServerLimitOutcome outcome;
  const double limitedS = Seconds(mOptions.mLength - mOptions.mLimitedFrom);
  double allowed = 0.0;
  double sent = 0.0;
  int limited = 0;
  for (const auto& server : mServers) {
    if (server.mLimit > 0.0) {
      const double over = server.mWorst / (server.mLimit * kWindowS);
      outcome.mWorstOverLimit = std::max(outcome.mWorstOverLimit, over);
      outcome.mMeanOverLimit += over;
      allowed += server.mLimit * limitedS;
      sent += server.mSent;
      ++limited;
    }
  }
  const auto requests = static_cast<double>(mRequests);
  outcome.mMeanOverLimit /= std::max(1, limited);
  outcome.mUsedShare = sent / std::max(1.0, allowed);
  outcome.mRejectedHops = static_cast<double>(mRejected) / requests;
  outcome.mNotServed = static_cast<double>(mNotServed) / requests;
  outcome.mBytesPerBoxSecond =
    static_cast<double>(mBytes) / limitedS / mOptions.mBoxes;
  return outcome;
}

} // namespace porttiller::bench
