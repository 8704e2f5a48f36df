#include "porttiller/home/CrashEvidence.h"

#include "porttiller/hop/Random.h"

namespace porttiller {

namespace {

// Well within CrashAttribution::kCrashSpan.
constexpr Millis kRecheckDelay{ 100 };

} // namespace

CrashEvidence::CrashEvidence(ServerIncarnation aServer,
                             ServerCall& aCall,
                             CrashMonitor& aMonitor)
  : mServer(std::move(aServer))
  , mCall(aCall)
  , mMonitor(aMonitor)
{
}

void
CrashEvidence::OnStarted(const HomeRequest& aRequest)
{
  const auto crashes = mMonitor.StateOf(aRequest.mDigest).mCrashes;
  const std::lock_guard lock(mMutex);
  mCrashes.OnStarted(
    aRequest.mAttempt,
    { .mDigest = aRequest.mDigest, .mAfterCrash = crashes > 0 });
}

// A server that closed a connection and accepts no new one has crashed, unless
// it was leaving.
void
CrashEvidence::OnEnded(const HomeRequest& aRequest,
                       HomeAnswer& aAnswer,
                       bool aLeaving)
{
  if (aAnswer.mOutcome == Outcome::kRun) {
    mMonitor.OnAnswered(aRequest.mDigest);
  }
  if (!EndedWithoutNotice(aRequest, aAnswer, aLeaving)) {
    return;
  }
  const bool refuses = mCall.RefusesConnections();
  if (refuses) {
    ReportCrash();
  }
  const std::lock_guard lock(mMutex);
  if (!refuses) {
    mRecheckAt = Now() + kRecheckDelay;
  }
  if (const auto blame = mCrashes.TakeBlame(aRequest.mAttempt)) {
    aAnswer.mCrash = CrashEvent{ .mId = blame->mCrash,
                                 .mAt = Now(),
                                 .mAfterCrash = blame->mAfterCrash };
  }
}

// Whether the server closed the connection without an answer and was not
// leaving.
bool
CrashEvidence::EndedWithoutNotice(const HomeRequest& aRequest,
                                  const HomeAnswer& aAnswer,
                                  bool aLeaving)
{
  const std::lock_guard lock(mMutex);
  if (aAnswer.mOutcome != Outcome::kUnknown) {
    mCrashes.OnAnswered(aRequest.mAttempt);
    return false;
  }
  mCrashes.OnBroken(aRequest.mAttempt, Now());
  return aAnswer.mServerClosed && !aLeaving;
}

void
CrashEvidence::Recheck(bool aLeaving)
{
  {
    const std::lock_guard lock(mMutex);
    if (aLeaving || !mRecheckAt || Now() < *mRecheckAt) {
      return;
    }
    mRecheckAt.reset();
  }
  if (!mCall.HasOpenIdle() && mCall.RefusesConnections()) {
    ReportCrash();
  }
}

void
CrashEvidence::ReportCrash()
{
  const auto crash = Random();
  std::vector<CrashSuspect> suspects;
  {
    const std::lock_guard lock(mMutex);
    suspects = mCrashes.OnConnectionRefused(crash, mCall.Opened(), Now());
  }
  if (!suspects.empty()) {
    mMonitor.OnServerCrash(crash, mServer, suspects);
  }
}

} // namespace porttiller
