#include "porttiller/home/Home.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace porttiller {

namespace {

constexpr Millis kNoServerRetryAfter{ 100 };
constexpr Millis kDuplicateRetryAfter{ 1000 };
constexpr double kPercent = 100.0;
constexpr std::size_t kMaxAbsentThrottles = 64;

// Whether a server keeps its state. The leaving flag may differ; any other
// difference, such as a later start, makes it another server.
bool
SameServer(const BackendServerSpec& aHeld, const BackendServerSpec& aNew)
{
  auto held = aHeld;
  held.mLeaving = aNew.mLeaving;
  return held == aNew;
}

HomeAnswer
Reject(RejectReason aRejectReason, Millis aRetryAfter)
{
  return { .mOutcome = Outcome::kNotRun,
           .mRejectReason = aRejectReason,
           .mRetryAfter = aRetryAfter };
}

// Rejects an attempt that was, or may have been, admitted before. It must not
// run again, and the outcome of the first arrival is unknown here.
HomeAnswer
RejectDuplicate(RejectReason aRejectReason)
{
  return { .mOutcome = Outcome::kUnknown,
           .mRejectReason = aRejectReason,
           .mRetryAfter = kDuplicateRetryAfter,
           .mReason = std::string(ToText(aRejectReason)) };
}

RecordedAnswerPtr
MakeRecord(const HomeRequest& aRequest, const HomeAnswer& aAnswer)
{
  const bool tooLarge =
    aAnswer.mHttp.mBody.Size() > AttemptRegistryOptions{}.mMaxAnswerBytes;
  if (aRequest.mRequestKey.empty() || tooLarge ||
      aAnswer.mOutcome != Outcome::kRun) {
    return nullptr;
  }
  auto record = std::make_shared<RecordedAnswer>();
  record->mStatus = aAnswer.mHttp.mStatus;
  record->mContentType = HeaderValue(aAnswer.mHttp.mHeaders, "Content-Type");
  record->mBody = aAnswer.mHttp.mBody.ToString();
  record->mRequestKey = aRequest.mRequestKey;
  return record;
}

} // namespace

Home::Home(BoxName aBox,
           Incarnation aIncarnation,
           LocalServerOptions aServerOptions,
           RetrySettings aRetries,
           const ShutdownDeadline& aShutdownDeadline,
           CrashMonitor& aCrashMonitor)
  : mBox(std::move(aBox))
  , mIncarnation(aIncarnation)
  , mServerOptions(std::move(aServerOptions))
  , mRetries(aRetries)
  , mShutdownDeadline(aShutdownDeadline)
  , mCrashMonitor(aCrashMonitor)
{
}

Home::Shard&
Home::ShardOf(const AttemptId& aAttempt) const
{
  const auto hash = std::hash<std::string>{}(aAttempt.Box().Value());
  return mShards.at(hash % kShards);
}

HomeAnswer
Home::Handle(const HomeRequest& aRequest)
{
  if (aRequest.mHomeIncarnation != mIncarnation) {
    return Reject(RejectReason::kIncarnation, Millis(0));
  }
  auto& shard = ShardOf(aRequest.mAttempt);
  AdmitVerdict verdict{};
  {
    const std::lock_guard lock(shard.mMutex);
    verdict = shard.mRegistry.Admit(aRequest.mAttempt, Now());
  }
  switch (verdict) {
    case AdmitVerdict::kAdmitted:
      return RunAdmitted(aRequest, shard);
    case AdmitVerdict::kRevoked:
      return Reject(RejectReason::kRevoked, Millis(0));
    case AdmitVerdict::kDuplicate:
      return RejectDuplicate(RejectReason::kDuplicate);
    case AdmitVerdict::kStale:
      break;
  }
  return RejectDuplicate(RejectReason::kStale);
}

HomeAnswer
Home::RunAdmitted(const HomeRequest& aRequest, Shard& aShard)
{
  if (!aRequest.mCrashes.empty()) {
    mCrashMonitor.Learn(
      { .mDigest = aRequest.mDigest, .mEvents = aRequest.mCrashes },
      CrashMonitor::Source::kHop);
  }
  const auto server = Find(aRequest.mServer);
  HomeAnswer answer;
  if (aRequest.mDeadline <= Now() || IsCancelled(aRequest)) {
    answer = Reject(RejectReason::kExpired, Millis(0));
  } else if (!server) {
    answer = Reject(RejectReason::kNoServer, kNoServerRetryAfter);
  } else {
    answer = server->Run(aRequest);
  }
  CountHedge(aRequest, answer);
  if (answer.mReason == kMalformedReason) {
    ++mMalformedAnswers;
  }
  auto record = MakeRecord(aRequest, answer);
  const std::lock_guard lock(aShard.mMutex);
  if (answer.mOutcome == Outcome::kNotRun) {
    aShard.mRegistry.Reject(aRequest.mAttempt);
  } else {
    aShard.mRegistry.Finish(
      aRequest.mAttempt, answer.mOutcome, std::move(record));
  }
  return answer;
}

void
Home::CountHedge(const HomeRequest& aRequest, const HomeAnswer& aAnswer)
{
  if (!aRequest.mIsHedge) {
    return;
  }
  if (aAnswer.mOutcome != Outcome::kNotRun) {
    ++mHedgesAdmitted;
  } else if (aAnswer.mRejectReason == RejectReason::kNoRetries) {
    ++mHedgesRejected;
  }
}

HedgeCounts
Home::Hedges() const
{
  return { .mAdmitted = mHedgesAdmitted, .mRejected = mHedgesRejected };
}

AttemptReport
Home::Revoke(const AttemptId& aAttempt, Incarnation aHomeIncarnation)
{
  if (aHomeIncarnation != mIncarnation) {
    return {};
  }
  auto& shard = ShardOf(aAttempt);
  {
    const std::lock_guard lock(shard.mMutex);
    auto report = shard.mRegistry.Revoke(aAttempt, Now());
    if (report.mState != AttemptState::kRunning) {
      return report;
    }
  }
  for (const auto& server : Servers()) {
    if (server->CancelWaiting(aAttempt)) {
      const std::lock_guard lock(shard.mMutex);
      shard.mRegistry.Reject(aAttempt);
      break;
    }
  }
  return Query(aAttempt, aHomeIncarnation);
}

AttemptReport
Home::Query(const AttemptId& aAttempt, Incarnation aHomeIncarnation) const
{
  if (aHomeIncarnation != mIncarnation) {
    return {};
  }
  auto& shard = ShardOf(aAttempt);
  const std::lock_guard lock(shard.mMutex);
  return shard.mRegistry.Query(aAttempt);
}

RetryBudgetOptions
Home::BudgetOf(const ServiceEntry& aService) const
{
  const auto& spec = aService.mSpec;
  const RetryBound fleet{ .mShare = mRetries.mShare,
                          .mBurst = mRetries.mBurst,
                          .mWindow = mRetries.mWindow };
  const RetryBound own{ .mShare = spec.mRetryPercent / kPercent,
                        .mBurst = static_cast<double>(spec.mRetryBurst),
                        .mWindow = mRetries.mWindow };
  return HomeShareOf(Tighter(UsablePartOf(fleet), own),
                     aService.mServers.size());
}

void
Home::Apply(const Snapshot& aSnapshot)
{
  const std::lock_guard lock(mServersMutex);
  std::map<BackendServerName, LocalServerPtr> kept;
  std::set<BackendServerName> leaving;
  for (const auto& [name, service] : aSnapshot.mServices) {
    for (const auto& spec : service.mServers) {
      if (spec.mBox != mBox) {
        continue;
      }
      auto options = mServerOptions;
      options.mDetection = service.mSpec.mDetection;
      const auto server = ReuseOrCreate(spec, options);
      kept[spec.mName] = server;
      server->SetRetryBudget(BudgetOf(service));
      if (mLeaving || spec.mLeaving) {
        server->SetLeaving(true); // never reset on this object
      }
      if (spec.mLeaving) {
        leaving.insert(spec.mName);
      }
    }
  }
  for (const auto& [name, server] : mServers) {
    const auto it = kept.find(name);
    if (it == kept.end() || it->second != server) {
      server->SetLeaving(true);
      mReplacedServices.insert(server->Spec().mService);
    }
  }
  mServers.swap(kept);
  // One that is missing for a moment keeps what it demanded.
  if (mThrottles.size() > mServers.size() + kMaxAbsentThrottles) {
    std::erase_if(mThrottles, [this](const auto& aThrottle) {
      return !mServers.contains(aThrottle.first);
    });
  }
  mConfiguredLeaving.swap(leaving);
}

// Called under mServersMutex. A snapshot may be older than a leave message from
// the server, so a leaving server stays leaving, unless one snapshot marks it
// as leaving and the next one does not.
LocalServerPtr
Home::ReuseOrCreate(const BackendServerSpec& aSpec,
                    const LocalServerOptions& aOptions)
{
  const auto it = mServers.find(aSpec.mName);
  const bool returned =
    !aSpec.mLeaving && mConfiguredLeaving.contains(aSpec.mName);
  const bool same = it != mServers.end() && !returned &&
                    SameServer(it->second->Spec(), aSpec) &&
                    it->second->Options() == aOptions;
  if (same) {
    return it->second;
  }
  return std::make_shared<LocalServer>(aSpec,
                                       aOptions,
                                       ThrottleOf(aSpec, returned),
                                       mShutdownDeadline,
                                       mCrashMonitor);
}

// Called under mServersMutex. aReturned: the server was taken back by hand,
// which ends what it demanded before.
ServerThrottlePtr
Home::ThrottleOf(const BackendServerSpec& aSpec, bool aReturned)
{
  auto& throttle = mThrottles[aSpec.mName];
  if (!throttle || aReturned || throttle->Server() != aSpec.Incarnation()) {
    throttle = std::make_shared<ServerThrottle>(aSpec.Incarnation());
  }
  return throttle;
}

std::set<ServiceName>
Home::TakeReplacedServices()
{
  const std::lock_guard lock(mServersMutex);
  return std::exchange(mReplacedServices, {});
}

void
Home::SetLeaving()
{
  const std::lock_guard lock(mServersMutex);
  mLeaving = true;
  for (const auto& [name, server] : mServers) {
    server->SetLeaving(true);
  }
}

void
Home::SetServerLeaving(const ServerIncarnation& aServer)
{
  const auto server = Find(aServer.Id());
  if (server && !server->Spec().Incarnation().Supersedes(aServer)) {
    server->SetLeaving(true);
  }
}

LocalServerPtr
Home::Find(const BackendServerName& aName) const
{
  const std::lock_guard lock(mServersMutex);
  const auto it = mServers.find(aName);
  return it == mServers.end() ? nullptr : it->second;
}

std::vector<LocalServerPtr>
Home::Servers() const
{
  const std::lock_guard lock(mServersMutex);
  std::vector<LocalServerPtr> servers;
  for (const auto& [name, server] : mServers) {
    servers.push_back(server);
  }
  return servers;
}

int
Home::InFlight() const
{
  int count = 0;
  for (const auto& server : Servers()) {
    count += server->InFlight();
  }
  return count;
}

} // namespace porttiller
