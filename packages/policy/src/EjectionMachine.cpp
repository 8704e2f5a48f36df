#include "porttiller/policy/EjectionMachine.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kMaxDoublings = 10;
constexpr double kCarefulThreshold = 18.0;
constexpr double kFastThreshold = 12.0;
constexpr Millis kMinRetryAfter{ 100 };
// A server that is slower than those of other homes by this factor has a fault
// of its own.
constexpr double kMinSlownessOverPeers = 2.0;
constexpr int kMinPeerSamples = 10;
// A common fault may raise one home's alarm before the others', so a peer
// counts as suspicious at this share of the threshold.
constexpr double kPeerSuspicionScore = 0.2;

} // namespace

const char*
ToText(ServerPhase aPhase)
{
  switch (aPhase) {
    case ServerPhase::kHealthy:
      return "healthy";
    case ServerPhase::kAsking:
      return "asking";
    case ServerPhase::kDemoted:
      return "demoted";
    case ServerPhase::kEjected:
      return "ejected";
    case ServerPhase::kProbation:
      return "probation";
    case ServerPhase::kRamping:
      break;
  }
  return "ramping";
}

EjectionOptions
CarefulEjection()
{
  EjectionOptions options;
  options.mDetector.mThreshold = kCarefulThreshold;
  return options;
}

EjectionOptions
FastEjection()
{
  EjectionOptions options;
  options.mDetector.mThreshold = kFastThreshold;
  options.mDemoteWithoutPeers = true;
  return options;
}

EjectionMachine::EjectionMachine(EjectionOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mDetector(mOptions.mDetector)
  , mPhaseSince(aNow)
  , mLastTick(aNow)
{
}

bool
EjectionMachine::OutOfRotation() const
{
  return mPhase == ServerPhase::kDemoted || mPhase == ServerPhase::kEjected ||
         mPhase == ServerPhase::kProbation;
}

// A server that failed recently is more likely to fail again, so strikes lower
// the threshold.
bool
EjectionMachine::Suspicious() const
{
  return mDetector.Score() >=
         (mStrikes > 0 ? mOptions.mThresholdShareAfterStrike : 1.0);
}

bool
EjectionMachine::Ejected() const
{
  return OutOfRotation() && mPermission == Permission::kHeld;
}

void
EjectionMachine::Enter(ServerPhase aPhase, TimePoint aNow)
{
  mPhase = aPhase;
  mPhaseSince = aNow;
}

void
EjectionMachine::RemoveFromRotation(TimePoint aNow)
{
  ++mStrikes;
  const int doublings = std::min(mStrikes - 1, kMaxDoublings);
  mRemovedUntil = aNow + std::min(mOptions.mBaseRemovalTime * (1 << doublings),
                                  mOptions.mMaxRemovalTime);
  mNextAction = aNow;
  mRampStart = mOptions.mRampStartShare;
  mDetector.Reset();
  Enter(mPermission == Permission::kHeld ? ServerPhase::kEjected
                                         : ServerPhase::kDemoted,
        aNow);
}

void
EjectionMachine::OnEvidence(const Evidence& aEvidence, TimePoint aNow)
{
  if (mPhase == ServerPhase::kProbation) {
    const bool good =
      !aEvidence.mFailed && !mDetector.IsSlow(aEvidence.mLatency);
    mSuccessesInProbation = good ? mSuccessesInProbation + 1 : 0;
    if (!good || mSuccessesInProbation >= mOptions.mProbationSuccesses) {
      EndProbation(good, aNow);
    }
    return;
  }
  if (OutOfRotation()) {
    return; // earlier requests, or requests sent here as the last resort
  }
  const bool cold = mPhase == ServerPhase::kRamping;
  mDetector.Observe(aEvidence, !cold, aNow);
}

void
EjectionMachine::EndProbation(bool aGood, TimePoint aNow)
{
  if (!aGood) {
    RemoveFromRotation(aNow);
    return;
  }
  mDetector.Reset();
  mNextAction = aNow;
  Enter(ServerPhase::kRamping, aNow);
}

void
EjectionMachine::DecayStrikes(TimePoint aNow)
{
  if (mStrikes > 0 && aNow - mPhaseSince >= mOptions.mStrikeDecayTime) {
    --mStrikes;
    mPhaseSince = aNow;
  }
}

std::vector<EjectionAction>
EjectionMachine::OnTick(TimePoint aNow)
{
  if (aNow - mLastTick > mOptions.mMaxTickGap) {
    OnTickGap(aNow);
  }
  mLastTick = aNow;
  AdvancePhase(aNow);
  std::vector<EjectionAction> actions;
  if (mPhase == ServerPhase::kAsking && !mActionPending &&
      aNow >= mNextAction) {
    mActionPending = true;
    actions.emplace_back(AskPeers());
  } else if (auto action = PermissionAction(aNow)) {
    actions.push_back(*action);
  }
  return actions;
}

// The process was frozen, so the permission may be outdated. Ejecting the
// server again needs a new one.
void
EjectionMachine::OnTickGap(TimePoint aNow)
{
  if (mPhase != ServerPhase::kEjected) {
    return;
  }
  mPermission = Permission::kRequested;
  mActionPending = false;
  mNextAction = aNow;
  Enter(ServerPhase::kDemoted, aNow);
}

void
EjectionMachine::AdvancePhase(TimePoint aNow)
{
  switch (mPhase) {
    case ServerPhase::kHealthy:
      DecayStrikes(aNow);
      StartAsking(aNow);
      break;
    case ServerPhase::kRamping:
      if (!StartAsking(aNow) && aNow - mPhaseSince >= mOptions.mRampTime) {
        Enter(ServerPhase::kHealthy, aNow);
      }
      break;
    case ServerPhase::kAsking:
      if (!Suspicious()) {
        Enter(ServerPhase::kHealthy, aNow);
      }
      break;
    case ServerPhase::kDemoted:
    case ServerPhase::kEjected:
      if (aNow >= mRemovedUntil) {
        mSuccessesInProbation = 0;
        mNextProbationRequest = aNow;
        Enter(ServerPhase::kProbation, aNow);
      }
      break;
    case ServerPhase::kProbation:
      break;
  }
}

bool
EjectionMachine::StartAsking(TimePoint aNow)
{
  if (!Suspicious()) {
    return false;
  }
  mNextAction = aNow;
  mOwnFaultPolls = 0;
  Enter(ServerPhase::kAsking, aNow);
  return true;
}

std::optional<EjectionAction>
EjectionMachine::PermissionAction(TimePoint aNow)
{
  if (mActionPending || aNow < mNextAction) {
    return std::nullopt;
  }
  const bool working = !OutOfRotation() && mPhase != ServerPhase::kAsking;
  if (working && HoldsPermission()) {
    mPermission = Permission::kReleasing;
    mActionPending = true;
    return ReleasePermission();
  }
  if (mPhase == ServerPhase::kDemoted) {
    mPermission = Permission::kRequested;
    mActionPending = true;
    return RequestPermission();
  }
  return std::nullopt;
}

bool
EjectionMachine::IsCommonCause(const std::vector<PeerHealth>& aPeers) const
{
  const bool onlySlow = mDetector.OnlySlow();
  const auto recent = static_cast<double>(mDetector.RecentLatency().count());
  int affected = 0;
  for (const auto& peer : aPeers) {
    const bool asSlow =
      onlySlow && peer.mSamples >= kMinPeerSamples &&
      recent < kMinSlownessOverPeers *
                 static_cast<double>(peer.mMedianLatency.count());
    affected += peer.mSuspicious || asSlow ? 1 : 0;
  }
  return 2 * affected >= static_cast<int>(aPeers.size());
}

void
EjectionMachine::OnPeers(const std::vector<PeerHealth>& aPeers,
                         int aOthers,
                         TimePoint aNow)
{
  mActionPending = false;
  if (mPhase != ServerPhase::kAsking) {
    return;
  }
  const bool noPeers = aPeers.empty();
  const bool ownFault = aOthers > 0 && (noPeers ? mOptions.mDemoteWithoutPeers
                                                : !IsCommonCause(aPeers));
  mOwnFaultPolls = ownFault ? mOwnFaultPolls + 1 : 0;
  if (mOwnFaultPolls >= mOptions.mConfirmingPolls) {
    RemoveFromRotation(aNow);
    return;
  }
  mNextAction = aNow + (ownFault ? mOptions.mConfirmationDelay
                                 : mOptions.mPeerPollInterval);
}

void
EjectionMachine::OnPermission(PermissionAnswer aAnswer, TimePoint aNow)
{
  mActionPending = false;
  mNextAction = aNow + mOptions.mPermissionRetry;
  switch (aAnswer) {
    case PermissionAnswer::kGranted:
      mPermission = Permission::kHeld;
      if (mPhase == ServerPhase::kDemoted) {
        Enter(ServerPhase::kEjected, aNow);
      }
      break;
    case PermissionAnswer::kFloor:
      mPermission = Permission::kNone;
      break;
    case PermissionAnswer::kUnavailable:
      break; // stays kRequested: it may be held
  }
}

void
EjectionMachine::OnReleased(bool aDone, TimePoint aNow)
{
  mActionPending = false;
  mNextAction = aNow + mOptions.mPermissionRetry;
  if (aDone && mPermission == Permission::kReleasing) {
    mPermission = Permission::kNone;
  }
}

void
EjectionMachine::OnFloorBroken(TimePoint aNow)
{
  if (!OutOfRotation()) {
    return;
  }
  mDetector.Reset();
  mNextAction = aNow;
  Enter(ServerPhase::kRamping, aNow);
}

AdmissionVerdict
EjectionMachine::Gate(bool aRepeatable, bool aLastResort, TimePoint aNow)
{
  if (!OutOfRotation()) {
    return AdmissionVerdict::kAdmit;
  }
  const bool mayTest = mPhase == ServerPhase::kProbation && aRepeatable &&
                       aNow >= mNextProbationRequest;
  if (mayTest) {
    mNextProbationRequest = aNow + mOptions.mProbationInterval;
    return AdmissionVerdict::kAdmit;
  }
  if (Ejected()) {
    return AdmissionVerdict::kEjected;
  }
  return aLastResort ? AdmissionVerdict::kAdmit : AdmissionVerdict::kDemoted;
}

Millis
EjectionMachine::RetryAfter(TimePoint aNow) const
{
  if (mPhase == ServerPhase::kProbation) {
    return kMinRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  std::chrono::ceil<Millis>(mRemovedUntil - aNow));
}

double
EjectionMachine::SlotShare(TimePoint aNow) const
{
  if (mPhase != ServerPhase::kRamping) {
    return 1.0;
  }
  const double done =
    std::chrono::duration<double>(aNow - mPhaseSince).count() /
    std::chrono::duration<double>(mOptions.mRampTime).count();
  const double share = mRampStart + (1.0 - mRampStart) * done;
  return std::clamp(share, mRampStart, 1.0);
}

std::optional<PeerHealth>
EjectionMachine::Health() const
{
  if (OutOfRotation()) {
    return std::nullopt;
  }
  return PeerHealth{ .mSuspicious = mDetector.Score() >= kPeerSuspicionScore,
                     .mMedianLatency = mDetector.RecentLatency(),
                     .mSamples = mDetector.Samples() };
}

std::string
EjectionMachine::Dump() const
{
  return std::string("phase=") + ToText(mPhase) +
         " permission=" + (HoldsPermission() ? "maybe-held" : "none") +
         " strikes=" + std::to_string(mStrikes) + " " + mDetector.Dump();
}

} // namespace porttiller
