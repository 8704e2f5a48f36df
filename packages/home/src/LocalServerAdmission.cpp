// Admission of requests: which are rejected at once, and what may have changed
// once they have a slot.
#include "porttiller/home/LocalServer.h"

#include "porttiller/telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace porttiller {

namespace {

constexpr Millis kNoRetriesRetryAfter{ 500 };
constexpr double kPercent = 100.0;

// Only long requests leave a part of the budget to others.
RetryUse
RetryUseOf(const HomeRequest& aRequest)
{
  if (!aRequest.mLongTarget) {
    return RetryUse::kAny;
  }
  if (aRequest.mIsHedge) {
    return RetryUse::kHedge;
  }
  return aRequest.mPriority == Priority::kSheddable ? RetryUse::kSheddable
                                                    : RetryUse::kAny;
}

std::string
ToText(RetryUse aUse)
{
  switch (aUse) {
    case RetryUse::kSheddable:
      return "sheddable";
    case RetryUse::kHedge:
      return "hedge";
    case RetryUse::kAny:
      break;
  }
  return "any";
}

} // namespace

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  mSenders.OnRequest(aRequest.mAttempt.Box(), Now());
  OnLimitReport(aRequest);
  if (IsLeavingLocked()) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (mReplaced) {
    return RejectLocked(RejectReason::kNoServer, kLeavingRetryAfter);
  }
  auto rejected = RejectIfQuarantined(aRequest);
  if (!rejected && MayBeInterrupted(aRequest)) {
    rejected = RejectLocked(RejectReason::kDemoted, kLeavingRetryAfter);
  }
  if (!rejected) {
    rejected = mOptions.mFailingServers == FailingServers::kBreak
                 ? RejectIfBroken(aRequest)
                 : RejectIfEjected(aRequest);
  }
  if (!rejected) {
    rejected = RejectIfRetriesSpent(aRequest);
  }
  if (rejected) {
    return rejected;
  }
  if (mThrottle->Limit()) {
    return TakePacedSlot(lock, aRequest);
  }
  const auto ticket = mNextTicket++;
  const auto offer =
    mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  if (offer.mDisplaced) {
    RejectWaiter(
      *offer.mDisplaced, RejectReason::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kShed) {
    return RejectLocked(RejectReason::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    OnStarted(aRequest);
    return std::nullopt;
  }
  auto& waiter = mWaiters[ticket];
  waiter.mAttempt = aRequest.mAttempt;
  waiter.mLastResort = aRequest.mLastResort;
  auto notStarted = WaitForSlot(lock, ticket, aRequest);
  if (notStarted) {
    return notStarted;
  }
  rejected = RejectBeforeStart(aRequest);
  if (rejected) {
    lock.unlock();
    FreeSlot(std::nullopt);
    return rejected;
  }
  OnStarted(aRequest);
  return std::nullopt;
}

// What changed while the request waited for its slot.
std::optional<HomeAnswer>
LocalServer::RejectBeforeStart(const HomeRequest& aRequest)
{
  if (mThrottle->IsLeaving()) {
    return RejectLocked(RejectReason::kLeaving, kLeavingRetryAfter);
  }
  if (auto rejected = RejectIfQuarantined(aRequest)) {
    return rejected;
  }
  if (!mThrottle->Reserve(Micros(0), Now())) {
    return RejectLimited();
  }
  return std::nullopt;
}

std::optional<HomeAnswer>
LocalServer::RejectIfQuarantined(const HomeRequest& aRequest) const
{
  const auto state = mCrashMonitor.StateOf(aRequest.mDigest);
  const bool retryOfTrial =
    state.mVerdict == CrashVerdict::kTrial && aRequest.mIsRetry;
  if (state.mVerdict != CrashVerdict::kQuarantined && !retryOfTrial) {
    return std::nullopt;
  }
  return RejectLocked(RejectReason::kQuarantined, state.mRetryAfter);
}

void
LocalServer::OnStarted(const HomeRequest& aRequest)
{
  if (aRequest.mLongTarget) {
    mRouteTimes.AddLongRoute(aRequest.mRoute, *aRequest.mLongTarget);
  }
  mBreaker.OnStarted(aRequest, Now());
  mCrashes.OnStarted(aRequest);
  if (aRequest.mIsRetry) {
    mRetries.Spend();
  } else {
    mRetries.OnFirstAttempt(Now());
  }
}

std::optional<HomeAnswer>
LocalServer::RejectIfRetriesSpent(const HomeRequest& aRequest) const
{
  const auto use = RetryUseOf(aRequest);
  if (!aRequest.mIsRetry || mRetries.Admits(use)) {
    return std::nullopt;
  }
  if (aRequest.mLongTarget) {
    LogLine(LogLevel::kInfo, "retry_withheld")
      .With("request", aRequest.mRequestId)
      .With("attempt", aRequest.mAttempt.ToString())
      .With("server", mSpec.Incarnation().ToString())
      .With("use", ToText(use))
      .With("left_percent",
            std::lround(kPercent * std::max(0.0, mRetries.FillLevel())));
  }
  return RejectLocked(RejectReason::kNoRetries, kNoRetriesRetryAfter);
}

std::optional<HomeAnswer>
LocalServer::RejectIfBroken(const HomeRequest& aRequest)
{
  const auto now = Now();
  // A trial is likely to fail and to need a retry at another server.
  const bool retryAvailable = mRetries.Affords(1);
  if (mBreaker.Admit(aRequest, retryAvailable, now)) {
    return std::nullopt;
  }
  return RejectLocked(RejectReason::kDemoted, mBreaker.RetryAfter(now));
}

// A planned stop aborts requests that still run at its deadline. A request that
// is not repeatable is rejected so that it runs elsewhere, unless no other
// server accepts it.
bool
LocalServer::MayBeInterrupted(const HomeRequest& aRequest) const
{
  return !aRequest.mRepeatable && !aRequest.mLastResort &&
         mShutdownDeadline.EndsBefore(aRequest.mDeadline);
}

std::optional<HomeAnswer>
LocalServer::RejectIfEjected(const HomeRequest& aRequest)
{
  const auto now = Now();
  switch (mMachine.Gate(aRequest.mRepeatable, aRequest.mLastResort, now)) {
    case AdmissionVerdict::kAdmit:
      return std::nullopt;
    case AdmissionVerdict::kDemoted:
      return RejectLocked(RejectReason::kDemoted, mMachine.RetryAfter(now));
    case AdmissionVerdict::kEjected:
      break;
  }
  return RejectLocked(RejectReason::kEjected, mMachine.RetryAfter(now));
}

} // namespace porttiller
