#include "porttiller/node/LocalServer.h"

#include "porttiller/node/HopHeaders.h"
#include "porttiller/node/Log.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace porttiller {

namespace {

constexpr Millis kLeavingRetryAfter{ 1000 };
constexpr int kServerErrors = 500;
constexpr Millis kLinger{ 5000 };
// A time-out says something of the server only if it had this long.
constexpr Millis kTellingTimeout{ 500 };
// A backend server closes idle connections after some ten seconds; ours go
// first, as a request must not meet a close.
constexpr Millis kIdleClose{ 7000 };
// An unanswered request is a failure of its server after this many mean times
// of its answers, and never sooner than after kHangFloor.
constexpr int kHangMeans = 5;
constexpr Millis kHangFloor{ 800 };
constexpr Millis kHangUnknown{ 2000 }; // while no mean is known
// Entries keep away from an open breaker for so long before they ask again.
constexpr Millis kBrokenRetryAfter{ 2000 };
constexpr int kMisdirected = 421;
// A connection that had rested may have been closing when it was used.
constexpr Millis kRestedLong{ 1000 };
constexpr const char* kTimeoutReason = "server-timeout";
constexpr const char* kHangingReason = "server-hanging";
constexpr const char* kLeavingReason = "leaving";

EjectionOptions
OptionsFor(DetectionSetting aSetting)
{
  return aSetting == DetectionSetting::kFast ? FastEjection()
                                             : CarefulEjection();
}

// Times of the users' requests, and no start for those that cannot end in time.
SlotQueueOptions
QueueOptionsFor(const BackendServerSpec& aSpec, FailingServers aWay)
{
  if (aWay == FailingServers::kEject) {
    return { .mSlots = aSpec.mSlots };
  }
  return { .mSlots = aSpec.mSlots,
           .mQueuePerSlot = 2.0,
           .mInitialServiceTime = Millis(100),
           .mMinServiceShare = 0.6 };
}

HomeAnswer
Unknown(ExchangeError aError)
{
  return { .mOutcome = Outcome::kUnknown,
           .mReason = std::string("server-") + ToText(aError) };
}

} // namespace

LocalServer::LocalServer(const BackendServerSpec& aSpec,
                         LocalServerOptions aOptions,
                         const Cutoff& aCutoff)
  : mSpec(aSpec)
  , mOptions(std::move(aOptions))
  , mCutoff(aCutoff)
  , mPool({ .mAddress = aSpec.mAddress,
            .mMaxConnections = std::min(aSpec.mConnections, aSpec.mSlots),
            .mIdleClose = kIdleClose })
  , mQueue(QueueOptionsFor(aSpec, mOptions.mFailingServers))
  , mMachine(OptionsFor(mOptions.mDetection), Now())
  , mLeaving(aSpec.mLeaving)
{
}

double
LocalServer::LoadLocked() const
{
  return static_cast<double>(mQueue.Running() + mQueue.Waiting()) /
         mQueue.SlotLimit();
}

double
LocalServer::Load() const
{
  const std::lock_guard lock(mMutex);
  return LoadLocked();
}

int
LocalServer::InFlight() const
{
  const std::lock_guard lock(mMutex);
  return mQueue.Running() + mQueue.Waiting();
}

void
LocalServer::SetLeaving(bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  mLeaving = aLeaving;
}

std::string
LocalServer::Dump() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Dump() + " " + mBreaker.Dump() + " " + mQueue.Dump() +
         " leaving=" + (mLeaving ? "true" : "false");
}

HomeAnswer
LocalServer::RefuseLocked(Refusal aRefusal, Millis aRetryAfter) const
{
  return { .mOutcome = Outcome::kNotRun,
           .mRefusal = aRefusal,
           .mRetryAfter = aRetryAfter,
           .mLoad = LoadLocked() };
}

HomeAnswer
LocalServer::Run(const HomeRequest& aRequest)
{
  if (auto refused = TakeSlot(aRequest)) {
    return *refused;
  }
  const auto start = Now();
  auto answer = Exchange(aRequest);
  const auto time = Now() - start;
  Learn(aRequest, answer, time);
  const bool ran = answer.mOutcome != Outcome::kNotRun;
  FreeSlot(ran ? std::optional<Micros>(time) : std::nullopt);
  answer.mLoad = Load();
  return answer;
}

// What an answer says of the server. Nothing is said by connections that are
// all in use, or by a caller that gave it no time.
void
LocalServer::Learn(const HomeRequest& aRequest,
                   const HomeAnswer& aAnswer,
                   Micros aTime)
{
  const std::lock_guard lock(mMutex);
  const bool suspected = mRunningSince.erase(aRequest.mAttempt) == 0;
  if (mOptions.mFailingServers == FailingServers::kBreak) {
    LearnBreaker(aRequest, aAnswer, aTime, suspected);
    return;
  }
  Evidence evidence{ .mLatency = aTime };
  evidence.mClass =
    static_cast<std::uint32_t>(std::hash<std::string>{}(aRequest.mRoute));
  if (aAnswer.mOutcome == Outcome::kRun) {
    evidence.mFailed = aAnswer.mHttp.mStatus >= kServerErrors;
  } else if (aAnswer.mReason == kTimeoutReason) {
    const bool telling =
      mMachine.Evidences().IsSlow(aTime) || aTime >= Micros(kTellingTimeout);
    if (!telling) {
      return;
    }
    evidence.mFailed = true;
  } else if (aAnswer.mRefusal == Refusal::kOverloaded ||
             aAnswer.mRefusal == Refusal::kServerBusy ||
             aAnswer.mRefusal == Refusal::kLeaving || IsCancelled(aRequest)) {
    return;
  } else {
    evidence.mFailed = true;
  }
  mMachine.OnEvidence(evidence, Now());
}

void
LocalServer::LearnBreaker(const HomeRequest& aRequest,
                          const HomeAnswer& aAnswer,
                          Micros aTime,
                          bool aSuspected)
{
  const auto now = Now();
  if (IsCancelled(aRequest) || aAnswer.mRefusal == Refusal::kServerBusy ||
      aAnswer.mRefusal == Refusal::kOverloaded ||
      aAnswer.mRefusal == Refusal::kLeaving) {
    return; // says nothing of the server
  }
  LogLine(LogLevel::kDebug, "server_answer")
    .With("request", aRequest.mRequestId)
    .With("outcome", std::string(ToText(aAnswer.mOutcome)))
    .With("status", aAnswer.mHttp.mStatus)
    .With("reason", aAnswer.mReason)
    .With("trial", mBreaker.State() == BreakerState::kHalfOpen ? "yes" : "no")
    .With("time_ms", std::chrono::duration_cast<Millis>(aTime).count());
  bool changed = false;
  if (aAnswer.mReason == kTimeoutReason || aAnswer.mReason == kHangingReason) {
    const bool counts = aTime >= Micros(kHangFloor) && !aSuspected;
    changed = counts && mBreaker.OnNoAnswer(now);
  } else if (aAnswer.mOutcome != Outcome::kRun) {
    changed = mBreaker.OnFailure(now);
  } else if (aAnswer.mHttp.mStatus >= kServerErrors) {
    changed = mBreaker.OnError(now);
  } else {
    mLatency.Observe(aTime);
    changed = mBreaker.OnSuccess(now - aTime);
  }
  if (changed) {
    LogBreaker(aRequest,
               aAnswer.mOutcome == Outcome::kRun
                 ? "status " + std::to_string(aAnswer.mHttp.mStatus)
                 : aAnswer.mReason);
  }
}

void
LocalServer::LogBreaker(const HomeRequest& aRequest,
                        const std::string& aReason) const
{
  LogLine(LogLevel::kInfo, "server_breaker")
    .With("request", aRequest.mRequestId)
    .With("server", mSpec.mName.Value())
    .With("state", ToText(mBreaker.State()))
    .With("reason", aReason)
    .With("running", mQueue.Running())
    .With("mean_ms",
          std::chrono::duration_cast<Millis>(mLatency.Value()).count());
}

// Requests without an answer for so long hang.
Micros
LocalServer::HangLimitLocked() const
{
  if (mOptions.mFailingServers == FailingServers::kEject) {
    return Micros::max() / 2;
  }
  return mLatency.Value() == Micros(0)
           ? Micros(kHangUnknown)
           : std::max(Micros(kHangFloor), kHangMeans * mLatency.Value());
}

// A server that is known to fail need not be waited for any longer. Otherwise
// it may be the request that takes its time.
bool
LocalServer::GivesUpAfter(Micros aTime) const
{
  const std::lock_guard lock(mMutex);
  return mBreaker.State() == BreakerState::kHalfOpen &&
         aTime >= HangLimitLocked();
}

// A request without an answer tells of its server before its deadline does.
void
LocalServer::SuspectHanging(TimePoint aNow)
{
  const auto limit = HangLimitLocked();
  for (auto it = mRunningSince.begin(); it != mRunningSince.end();) {
    if (aNow - it->second < limit) {
      ++it;
      continue;
    }
    if (mBreaker.OnNoAnswer(aNow)) {
      LogLine(LogLevel::kInfo, "server_breaker")
        .With("attempt", it->first.ToString())
        .With("server", mSpec.mName.Value())
        .With("state", ToText(mBreaker.State()))
        .With("reason", "no answer for long")
        .With("limit_ms", std::chrono::duration_cast<Millis>(limit).count());
    }
    it = mRunningSince.erase(it);
  }
}

bool
LocalServer::Replaced() const
{
  const std::lock_guard lock(mMutex);
  return mReplaced;
}

std::vector<EjectionAction>
LocalServer::Tick(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  auto actions = mMachine.OnTick(aNow);
  const double slots = mMachine.SlotShare(aNow) * mSpec.mSlots;
  mQueue.SetSlotLimit(static_cast<int>(std::ceil(slots)));
  return actions;
}

void
LocalServer::OnPeers(const std::vector<PeerHealth>& aPeers, int aOthers)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnPeers(aPeers, aOthers, Now());
}

void
LocalServer::OnPermission(PermissionAnswer aAnswer)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnPermission(aAnswer, Now());
}

void
LocalServer::OnReleased(bool aDone)
{
  const std::lock_guard lock(mMutex);
  mMachine.OnReleased(aDone, Now());
}

void
LocalServer::OnFloorBroken()
{
  const std::lock_guard lock(mMutex);
  mMachine.OnFloorBroken(Now());
}

std::optional<PeerHealth>
LocalServer::Health() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Health();
}

ServerPhase
LocalServer::Phase() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.Phase();
}

bool
LocalServer::HoldsPermission() const
{
  const std::lock_guard lock(mMutex);
  return mMachine.HoldsPermission();
}

std::optional<HomeAnswer>
LocalServer::TakeSlot(const HomeRequest& aRequest)
{
  std::unique_lock lock(mMutex);
  if (mLeaving || Now() < mServerLeavingUntil) {
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
  }
  if (mReplaced) {
    return RefuseLocked(Refusal::kNoServer, kLeavingRetryAfter);
  }
  auto aside = mOptions.mFailingServers == FailingServers::kBreak
                 ? RefuseBroken(aRequest)
                 : RefuseAside(aRequest);
  if (aside) {
    return aside;
  }
  const auto ticket = mNextTicket++;
  const auto offer =
    mQueue.Offer(ticket, aRequest.mPriority, aRequest.mDeadline, Now());
  if (offer.mDisplaced) {
    mWaiters[*offer.mDisplaced].mRetryAfter = offer.mRetryAfter;
    Mark(*offer.mDisplaced, WaitState::kGivenUp);
  }
  if (offer.mVerdict == OfferVerdict::kShed) {
    return RefuseLocked(Refusal::kOverloaded, offer.mRetryAfter);
  }
  if (offer.mVerdict == OfferVerdict::kStart) {
    mRunningSince[aRequest.mAttempt] = Now();
    return std::nullopt;
  }
  mWaiters[ticket] = { .mAttempt = aRequest.mAttempt };
  auto refused = WaitForSlot(lock, ticket, aRequest);
  if (!refused) {
    mRunningSince[aRequest.mAttempt] = Now();
  }
  return refused;
}

std::optional<HomeAnswer>
LocalServer::RefuseBroken(const HomeRequest& aRequest)
{
  const auto now = Now();
  SuspectHanging(now);
  if (mBreaker.Admit(aRequest.mMayFail, aRequest.mLastResort, now)) {
    return std::nullopt;
  }
  return RefuseLocked(Refusal::kDemoted,
                      std::max(mBreaker.RetryAfter(now), kBrokenRetryAfter));
}

std::optional<HomeAnswer>
LocalServer::RefuseAside(const HomeRequest& aRequest)
{
  const auto now = Now();
  switch (mMachine.Gate(aRequest.mRepeatable, aRequest.mLastResort, now)) {
    case GateVerdict::kAdmit:
      return std::nullopt;
    case GateVerdict::kDemoted:
      return RefuseLocked(Refusal::kDemoted, mMachine.RetryAfter(now));
    case GateVerdict::kEjected:
      break;
  }
  return RefuseLocked(Refusal::kEjected, mMachine.RetryAfter(now));
}

std::optional<HomeAnswer>
LocalServer::WaitForSlot(std::unique_lock<std::mutex>& aLock,
                         Ticket aTicket,
                         const HomeRequest& aRequest)
{
  mCutoff.WaitInSlices(
    mQueue.LatestStart(aRequest.mDeadline),
    [&] { return IsCancelled(aRequest); },
    [&](TimePoint aUntil) {
      return mChanged.wait_until(aLock, aUntil, [&] {
        return mWaiters[aTicket].mState != WaitState::kWaiting;
      });
    });
  const auto waiter = mWaiters[aTicket];
  mWaiters.erase(aTicket);
  switch (waiter.mState) {
    case WaitState::kStarted:
      return std::nullopt;
    case WaitState::kGivenUp:
      return RefuseLocked(Refusal::kOverloaded, waiter.mRetryAfter);
    case WaitState::kWaiting:
      mQueue.Cancel(aTicket);
      break;
    case WaitState::kExpired:
      break;
  }
  return RefuseLocked(Refusal::kExpired, mQueue.ExpectedWait());
}

void
LocalServer::Mark(Ticket aTicket, WaitState aState)
{
  const auto it = mWaiters.find(aTicket);
  if (it != mWaiters.end()) {
    it->second.mState = aState;
    mChanged.notify_all();
  }
}

void
LocalServer::FreeSlot(std::optional<Micros> aServiceTime)
{
  const std::lock_guard lock(mMutex);
  const auto freed = mQueue.Release(aServiceTime, Now());
  for (const auto ticket : freed.mStart) {
    Mark(ticket, WaitState::kStarted);
  }
  for (const auto ticket : freed.mExpired) {
    Mark(ticket, WaitState::kExpired);
  }
}

bool
LocalServer::CancelWaiting(const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [ticket, waiter] : mWaiters) {
    if (waiter.mAttempt == aAttempt && mQueue.Cancel(ticket)) {
      Mark(ticket, WaitState::kExpired);
      return true;
    }
  }
  return false;
}

HttpRequestData
LocalServer::MakeRequest(const HomeRequest& aRequest) const
{
  const auto& names = mOptions.mHeaders;
  auto http = aRequest.mHttp;
  RemoveHeader(http.mHeaders, names.mServerDeadline);
  const auto left = std::chrono::ceil<Millis>(aRequest.mDeadline - Now());
  http.mHeaders.push_back(
    { names.mServerDeadline,
      std::to_string(std::max<Millis::rep>(1, left.count())) });
  if (!names.mExpectedServer.empty()) {
    RemoveHeader(http.mHeaders, names.mExpectedServer);
    http.mHeaders.push_back({ names.mExpectedServer, mSpec.mName.Value() });
  }
  return http;
}

HomeAnswer
LocalServer::Exchange(const HomeRequest& aRequest)
{
  auto begun = mPool.Begin(MakeRequest(aRequest), aRequest.mDeadline);
  if (!begun) {
    if (begun.error() == ExchangeError::kBusy ||
        begun.error() == ExchangeError::kNotSent) {
      const std::lock_guard lock(mMutex);
      const bool busy = begun.error() == ExchangeError::kBusy;
      auto refused =
        RefuseLocked(busy ? Refusal::kOverloaded : Refusal::kUnreachable,
                     kLeavingRetryAfter);
      refused.mReason = ToText(begun.error());
      return refused;
    }
    return Unknown(begun.error());
  }
  // Dropping the exchange closes its connection: the server may stop then.
  auto& exchange = **begun;
  const auto deadline =
    aRequest.mDeadline + (Lingers(aRequest) ? kLinger : Millis(0));
  const auto begunAt = Now();
  bool hanging = false;
  const auto stop = [&] {
    const auto now = Now();
    hanging = aRequest.mMayFail && GivesUpAfter(now - begunAt);
    return IsCancelled(aRequest) || hanging || now >= mCutoff.Limit(deadline);
  };
  const auto& idName = mOptions.mHeaders.mRequestId;
  const auto belongs = [&](const HttpAnswer& aAnswer) {
    const auto id = idName.empty() ? "" : HeaderValue(aAnswer.mHeaders, idName);
    return id.empty() || id == aRequest.mRequestId;
  };
  const auto rested = exchange.Rested();
  auto answer = exchange.ReadAnswer(deadline, stop, belongs);
  if (answer) {
    return Judge(aRequest, std::move(*answer));
  }
  if (hanging) {
    return { .mOutcome = Outcome::kUnknown, .mReason = kHangingReason };
  }
  if (answer.error() == ExchangeError::kCancelled && !IsCancelled(aRequest)) {
    return Unknown(ExchangeError::kTimeout); // cut off by a planned stop
  }
  auto unknown = Unknown(answer.error());
  if (answer.error() == ExchangeError::kClosed && rested >= kRestedLong) {
    unknown.mReason += "-after-rest";
  }
  return unknown;
}

// What an answer is worth. One that does not show that the server made it
// whole is no answer.
HomeAnswer
LocalServer::Judge(const HomeRequest& aRequest, HttpAnswer aHttp)
{
  if (SaysNotRun(aHttp)) {
    return RefusedByServer(aHttp);
  }
  const auto& names = mOptions.mHeaders;
  const bool unsignedAnswer =
    !names.mSignature.empty() &&
    (HeaderValue(aHttp.mHeaders, names.mSignature).empty() ||
     HeaderValue(aHttp.mHeaders, names.mRequestId) != aRequest.mRequestId);
  // Nobody asked for an encoding, so an encoded body is not the server's own.
  const bool encoded = !names.mSignature.empty() &&
                       !HeaderValue(aHttp.mHeaders, "Content-Encoding").empty();
  if (unsignedAnswer || encoded) {
    return { .mOutcome = Outcome::kUnknown,
             .mReason = "server-spoiled-answer" };
  }
  return { .mOutcome = Outcome::kRun, .mHttp = std::move(aHttp) };
}

bool
LocalServer::SaysNotRun(const HttpAnswer& aHttp) const
{
  const auto& notRun = mOptions.mHeaders.mNotRun;
  if (notRun.empty()) {
    return HeaderValue(aHttp.mHeaders, hop::kOutcome) ==
           ToText(Outcome::kNotRun);
  }
  return aHttp.mStatus == kMisdirected ||
         !HeaderValue(aHttp.mHeaders, notRun).empty();
}

// The server's own word that it did not run the request: it is shedding load,
// leaving, or another one than the request was for.
HomeAnswer
LocalServer::RefusedByServer(const HttpAnswer& aHttp)
{
  const std::lock_guard lock(mMutex);
  if (aHttp.mStatus == kMisdirected) {
    mReplaced = true;
    LogLine(LogLevel::kWarning, "server_replaced")
      .With("server", mSpec.mName.Value())
      .With("address", mSpec.mAddress);
    return RefuseLocked(Refusal::kNoServer, kLeavingRetryAfter);
  }
  if (HeaderValue(aHttp.mHeaders, hop::kReason) == kLeavingReason) {
    mServerLeavingUntil = Now() + kLeavingRetryAfter;
    return RefuseLocked(Refusal::kLeaving, kLeavingRetryAfter);
  }
  return RefuseLocked(Refusal::kServerBusy, mQueue.ExpectedWait());
}

} // namespace porttiller
