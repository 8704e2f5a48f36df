#include "sim/HardLoadFleet.h"

#include "sim/HardLoadPriv.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller::bench {

namespace {

constexpr RetryBound kRetryBound{ .mBurst = 208.0 }; // of 100 boxes
// Service times.
constexpr double kMeanS = 1.1;
constexpr double kSigma = 0.5;
constexpr double kTailShare = 0.03;
constexpr double kTailFactor = 7.0;
// Three servers in ten are in an episode of resets at any moment.
constexpr Micros kEpisode{ 2'700'000 };
constexpr Micros kBetweenEpisodes{ 6'300'000 };
constexpr double kResetShare = 0.85;
constexpr std::size_t kHangingServers = 3; // one after the other
constexpr Micros kHang{ 5'000'000 };
constexpr double kHangingShare = 0.7;
// General rejection, after the start.
constexpr Micros kRejectFrom{ 10'000'000 };
constexpr Micros kRejectUntil{ 18'500'000 };
constexpr double kRejectShare = 0.55;
constexpr Micros kReset{ 1'000 };
// As EntryView, after a rejection as overloaded.
constexpr Millis kMinAvoid{ 200 };
constexpr Micros kTick{ 100'000 }; // until entries know a server's state

const HomeAnswer kServed{ .mOutcome = Outcome::kRun,
                          .mHttp = { .mStatus = 200 } };
const HomeAnswer kConnectionReset{ .mOutcome = Outcome::kUnknown,
                                   .mReason = "server-closed" };
const HomeAnswer kBusy{ .mOutcome = Outcome::kNotRun,
                        .mRejectReason = RejectReason::kServerBusy };

} // namespace

HardLoadFleet::Server::Server(std::size_t aServers)
  : mBreaker(ServerIncarnation(BackendServerName("s")), mTimes)
  , mQueue({ .mSlots = kSlots,
             .mInitialServiceTime = Millis(100),
             .mMinServiceShare = 0.6 })
  , mBudget(HomeShareOf(UsablePartOf(kRetryBound), aServers))
{
}

HardLoadFleet::HardLoadFleet(HardLoadOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mNow(kStart)
{
  for (std::size_t i = 0; i < mOptions.mServers; ++i) {
    mServers.push_back(std::make_unique<Server>(mOptions.mServers));
    ScheduleEpisode(i);
  }
  for (std::size_t i = 0; i < kHangingServers; ++i) {
    const auto from = kStart + kHang * static_cast<int>(2 * i + 1);
    At(from, [this, i] { mServers[i]->mHangsUntil = mNow + kHang; });
  }
}

void
HardLoadFleet::At(TimePoint aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, ++mNext, std::move(aRun) });
}

double
HardLoadFleet::Uniform()
{
  return std::uniform_real_distribution<>()(mRandom);
}

Micros
HardLoadFleet::Exponential(Micros aMean)
{
  std::exponential_distribution<> time(1.0 /
                                       static_cast<double>(aMean.count()));
  return Micros(static_cast<Micros::rep>(time(mRandom)));
}

void
HardLoadFleet::ScheduleEpisode(std::size_t aServer)
{
  At(mNow + Exponential(kBetweenEpisodes), [this, aServer] {
    mServers[aServer]->mEpisodeUntil = mNow + kEpisode;
    At(mNow + kEpisode, [this, aServer] { ScheduleEpisode(aServer); });
  });
}

HardLoadOutcome
HardLoadFleet::Run()
{
  SetLogLevel("error"); // servers are demoted some hundred times
  Arrive();
  Tick();
  const auto end = kStart + mOptions.mLength + kTimeLimit;
  while (mEvents.top().mAt <= end) { // episodes never end
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mRun();
  }
  mOutcome.mRetriesAllowed =
    kRetryBound.mShare * mOutcome.mRequests + kRetryBound.mBurst;
  return mOutcome;
}

// Publishes the servers' states to the entries. As LocalServer does, rejects
// the requests that wait at a server that was demoted.
void
HardLoadFleet::Tick()
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    auto& server = *mServers[i];
    CheckSilence(server);
    if (server.mDemoted && !server.mKnownDemoted) {
      RejectWaiters(i);
    }
    server.mKnownDemoted = server.mDemoted;
  }
  if (mNow < kStart + mOptions.mLength) {
    At(mNow + kTick, [this] { Tick(); });
  }
}

void
HardLoadFleet::RejectWaiters(std::size_t aServer)
{
  std::vector<Ticket> waiters;
  for (const auto& [ticket, attempt] : mAttempts) {
    if (attempt.mServer == aServer && !attempt.mRequest.mLastResort &&
        mServers[aServer]->mQueue.Cancel(ticket)) {
      waiters.push_back(ticket);
    }
  }
  for (const auto ticket : waiters) {
    Reject(ticket, NotRunReason::kDemoted);
  }
}

// Between the ends of attempts, only silence can demote a server.
void
HardLoadFleet::CheckSilence(Server& aServer)
{
  const bool demoted = aServer.mBreaker.IsDemoted(mNow);
  if (demoted && !aServer.mDemoted) {
    ++mOutcome.mAlarms;
    mOutcome.mFalseAlarms += mNow < aServer.mHangsUntil ? 0 : 1;
  }
  aServer.mDemoted = demoted;
}

void
HardLoadFleet::ArriveAtHome(Ticket aTicket)
{
  const auto it = mAttempts.find(aTicket);
  if (it == mAttempts.end()) {
    return;
  }
  const auto& request = it->second.mRequest;
  auto& server = *mServers[it->second.mServer];
  CheckSilence(server);
  if (!server.mBreaker.Admit(request, server.mBudget.Affords(1), mNow)) {
    Reject(aTicket, NotRunReason::kDemoted);
    return;
  }
  if (request.mIsRetry && !server.mBudget.Affords(1)) {
    Reject(aTicket, NotRunReason::kNoCapacity);
    return;
  }
  const auto offer =
    server.mQueue.Offer(aTicket, request.mPriority, request.mDeadline, mNow);
  if (offer.mVerdict == OfferVerdict::kStart) {
    Start(aTicket);
  } else if (offer.mVerdict == OfferVerdict::kShed) {
    server.mAvoidUntil = mNow + std::max(kMinAvoid, offer.mRetryAfter);
    Reject(aTicket, NotRunReason::kNoCapacity);
  }
}

void
HardLoadFleet::Start(Ticket aTicket)
{
  auto& attempt = mAttempts.at(aTicket);
  auto& server = *mServers[attempt.mServer];
  attempt.mStarted = mNow;
  attempt.mRuns = true;
  if (attempt.mRequest.mLongTarget) {
    server.mTimes.AddLongRoute(kRoute, *attempt.mRequest.mLongTarget);
  }
  server.mBreaker.OnStarted(attempt.mRequest, mNow);
  if (attempt.mRequest.mIsRetry) {
    server.mBudget.Spend();
    ++mOutcome.mRetries;
  } else {
    server.mBudget.OnFirstAttempt(mNow);
  }
  const auto endAt = [&](TimePoint aTime, const HomeAnswer& aAnswer) {
    At(aTime, [this, aTicket, &aAnswer] { End(aTicket, aAnswer); });
  };
  if (Within(mNow, kRejectFrom, kRejectUntil) && Uniform() < kRejectShare) {
    endAt(mNow + kReset, kBusy);
  } else if (mNow < server.mEpisodeUntil && Uniform() < kResetShare) {
    endAt(mNow + kReset, kConnectionReset);
  } else if (mNow >= server.mHangsUntil || Uniform() >= kHangingShare) {
    std::lognormal_distribution<> body(std::log(kMeanS) - kSigma * kSigma / 2.0,
                                       kSigma);
    const double factor = Uniform() < kTailShare ? kTailFactor : 1.0;
    const auto us = static_cast<Micros::rep>(body(mRandom) * factor * 1e6);
    endAt(mNow + Micros(us), kServed);
  } // otherwise, it ends with its request
}

void
HardLoadFleet::Reject(Ticket aTicket, NotRunReason aReason)
{
  const auto node = mAttempts.extract(aTicket);
  const auto& attempt = node.mapped();
  const auto it = mRequests.find(attempt.mRequestNumber);
  auto& request = it->second;
  request.mAttempts.erase(aTicket);
  request.mPlan.OnNotRun(NameOf(attempt.mServer), aReason, UnlimitedRetries);
  if (request.mAttempts.empty()) {
    SendNext(it);
  }
}

// A started attempt ended, unless it was cancelled before.
void
HardLoadFleet::End(Ticket aTicket, const HomeAnswer& aAnswer)
{
  const auto found = mAttempts.find(aTicket);
  if (found == mAttempts.end()) {
    return;
  }
  const auto attempt = found->second;
  auto& server = *mServers[attempt.mServer];
  const auto time = mNow - attempt.mStarted;
  const bool answered = aAnswer.mOutcome == Outcome::kRun;
  if (answered) {
    server.mTimes.Observe(kRoute, time);
  }
  server.mBreaker.OnEnded(attempt.mRequest, aAnswer, time, mNow);
  server.mDemoted = server.mBreaker.IsDemoted(mNow);
  if (aAnswer.mOutcome == Outcome::kNotRun) {
    Reject(aTicket, NotRunReason::kOverloaded);
    ReleaseSlot(server, std::nullopt);
    return;
  }
  mAttempts.erase(found);
  ReleaseSlot(server, time);
  const auto it = mRequests.find(attempt.mRequestNumber);
  if (it == mRequests.end()) {
    return; // cancelled by Finish
  }
  auto& request = it->second;
  request.mAttempts.erase(aTicket);
  if (answered) {
    request.mPlan.OnAnswered(false, UnlimitedRetries);
    Finish(it, true);
    return;
  }
  request.mPlan.OnUnknown(UnlimitedRetries);
  if (request.mAttempts.empty()) {
    SendNext(it);
  }
}

void
HardLoadFleet::ReleaseSlot(Server& aServer, std::optional<Micros> aTime)
{
  const auto freed = aServer.mQueue.Release(aTime, mNow);
  for (const auto ticket : freed.mStart) {
    Start(ticket);
  }
  for (const auto ticket : freed.mExpired) {
    Reject(ticket, NotRunReason::kTryElsewhere);
  }
}

} // namespace porttiller::bench
