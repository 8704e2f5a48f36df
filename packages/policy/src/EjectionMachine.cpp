#include "porttiller/policy/EjectionMachine.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr int kMaxDoublings = 10;
constexpr double kCarefulThreshold = 18.0;
constexpr double kFastThreshold = 12.0;
constexpr Millis kMinRetryAfter{ 100 };
// Slower than the other homes' servers by this factor is one's own slowness.
constexpr double kSlowerThanPeers = 2.0;
constexpr int kPeerSamples = 10;
// A common fault reaches one home's alarm before the others'.
constexpr double kPeerSuspicion = 0.2;

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
  options.mActAlone = true;
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
EjectionMachine::SetAside() const
{
  return mPhase == ServerPhase::kDemoted || mPhase == ServerPhase::kEjected ||
         mPhase == ServerPhase::kProbation;
}

// A server that failed lately is likelier to fail again.
bool
EjectionMachine::Suspicious() const
{
  return mDetector.Score() >= (mStrikes > 0 ? mOptions.mStrikeThreshold : 1.0);
}

bool
EjectionMachine::Ejected() const
{
  return SetAside() && mPermission == Permission::kHeld;
}

void
EjectionMachine::Enter(ServerPhase aPhase, TimePoint aNow)
{
  mPhase = aPhase;
  mPhaseSince = aNow;
}

void
EjectionMachine::SetAsideNow(TimePoint aNow)
{
  ++mStrikes;
  const int doublings = std::min(mStrikes - 1, kMaxDoublings);
  mAsideUntil = aNow + std::min(mOptions.mFirstAside * (1 << doublings),
                                mOptions.mLongestAside);
  mNextCall = aNow;
  mRampFrom = mOptions.mFirstRampShare;
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
    mProbationGood = good ? mProbationGood + 1 : 0;
    if (!good || mProbationGood >= mOptions.mProbationSuccesses) {
      EndProbation(good, aNow);
    }
    return;
  }
  if (SetAside()) {
    return; // answers to requests from before, or of the last resort
  }
  const bool cold = mPhase == ServerPhase::kRamping;
  mDetector.Observe(aEvidence, !cold, aNow);
}

void
EjectionMachine::EndProbation(bool aGood, TimePoint aNow)
{
  if (!aGood) {
    SetAsideNow(aNow);
    return;
  }
  mDetector.Reset();
  mNextCall = aNow;
  Enter(ServerPhase::kRamping, aNow);
}

void
EjectionMachine::Forgive(TimePoint aNow)
{
  if (mStrikes > 0 && aNow - mPhaseSince >= mOptions.mForgiveAfter) {
    --mStrikes;
    mPhaseSince = aNow;
  }
}

std::vector<EjectionAction>
EjectionMachine::OnTick(TimePoint aNow)
{
  if (aNow - mLastTick > mOptions.mClockJump) {
    OnClockJump(aNow);
  }
  mLastTick = aNow;
  AdvancePhase(aNow);
  std::vector<EjectionAction> actions;
  if (mPhase == ServerPhase::kAsking && !mCallOpen && aNow >= mNextCall) {
    mCallOpen = true;
    actions.emplace_back(AskPeers());
  } else if (auto action = PermissionAction(aNow)) {
    actions.push_back(*action);
  }
  return actions;
}

// Frozen for a while: what was permitted may be outdated. Only a fresh
// permission ejects again.
void
EjectionMachine::OnClockJump(TimePoint aNow)
{
  if (mPhase != ServerPhase::kEjected) {
    return;
  }
  mPermission = Permission::kAsked;
  mCallOpen = false;
  mNextCall = aNow;
  Enter(ServerPhase::kDemoted, aNow);
}

void
EjectionMachine::AdvancePhase(TimePoint aNow)
{
  switch (mPhase) {
    case ServerPhase::kHealthy:
      Forgive(aNow);
      StartAsking(aNow);
      break;
    case ServerPhase::kRamping:
      if (!StartAsking(aNow) && aNow - mPhaseSince >= mOptions.mRamp) {
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
      if (aNow >= mAsideUntil) {
        mProbationGood = 0;
        mNextTrickle = aNow;
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
  mNextCall = aNow;
  mOwnFaultPolls = 0;
  Enter(ServerPhase::kAsking, aNow);
  return true;
}

std::optional<EjectionAction>
EjectionMachine::PermissionAction(TimePoint aNow)
{
  if (mCallOpen || aNow < mNextCall) {
    return std::nullopt;
  }
  const bool working = !SetAside() && mPhase != ServerPhase::kAsking;
  if (working && HoldsPermission()) {
    mPermission = Permission::kReleasing;
    mCallOpen = true;
    return ReleasePermission();
  }
  if (mPhase == ServerPhase::kDemoted) {
    mPermission = Permission::kAsked;
    mCallOpen = true;
    return RequestPermission();
  }
  return std::nullopt;
}

bool
EjectionMachine::IsCommonCause(const std::vector<PeerHealth>& aPeers) const
{
  const bool onlySlow = mDetector.OnlySlow();
  const auto recent = static_cast<double>(mDetector.RecentLatency().count());
  int same = 0;
  for (const auto& peer : aPeers) {
    const bool asSlow =
      onlySlow && peer.mSamples >= kPeerSamples &&
      recent <
        kSlowerThanPeers * static_cast<double>(peer.mMedianLatency.count());
    same += peer.mSuspicious || asSlow ? 1 : 0;
  }
  return 2 * same >= static_cast<int>(aPeers.size());
}

void
EjectionMachine::OnPeers(const std::vector<PeerHealth>& aPeers,
                         int aOthers,
                         TimePoint aNow)
{
  mCallOpen = false;
  if (mPhase != ServerPhase::kAsking) {
    return;
  }
  const bool alone = aPeers.empty();
  const bool ownFault =
    aOthers > 0 && (alone ? mOptions.mActAlone : !IsCommonCause(aPeers));
  mOwnFaultPolls = ownFault ? mOwnFaultPolls + 1 : 0;
  if (mOwnFaultPolls >= mOptions.mConfirmingPolls) {
    SetAsideNow(aNow);
    return;
  }
  mNextCall = aNow + (ownFault ? mOptions.mConfirmAfter : mOptions.mAskAgain);
}

void
EjectionMachine::OnPermission(PermissionAnswer aAnswer, TimePoint aNow)
{
  mCallOpen = false;
  mNextCall = aNow + mOptions.mPermissionRetry;
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
      break; // still kAsked: it may be held
  }
}

void
EjectionMachine::OnReleased(bool aDone, TimePoint aNow)
{
  mCallOpen = false;
  mNextCall = aNow + mOptions.mPermissionRetry;
  if (aDone && mPermission == Permission::kReleasing) {
    mPermission = Permission::kNone;
  }
}

void
EjectionMachine::OnFloorBroken(TimePoint aNow)
{
  if (!SetAside()) {
    return;
  }
  mDetector.Reset();
  mNextCall = aNow;
  Enter(ServerPhase::kRamping, aNow);
}

GateVerdict
EjectionMachine::Gate(bool aRepeatable, bool aLastResort, TimePoint aNow)
{
  if (!SetAside()) {
    return GateVerdict::kAdmit;
  }
  const bool mayTrickle =
    mPhase == ServerPhase::kProbation && aRepeatable && aNow >= mNextTrickle;
  if (mayTrickle) {
    mNextTrickle = aNow + mOptions.mTrickleGap;
    return GateVerdict::kAdmit;
  }
  if (Ejected()) {
    return GateVerdict::kEjected;
  }
  return aLastResort ? GateVerdict::kAdmit : GateVerdict::kDemoted;
}

Millis
EjectionMachine::RetryAfter(TimePoint aNow) const
{
  if (mPhase == ServerPhase::kProbation) {
    return kMinRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  std::chrono::ceil<Millis>(mAsideUntil - aNow));
}

double
EjectionMachine::SlotShare(TimePoint aNow) const
{
  if (mPhase != ServerPhase::kRamping) {
    return 1.0;
  }
  const double done =
    std::chrono::duration<double>(aNow - mPhaseSince).count() /
    std::chrono::duration<double>(mOptions.mRamp).count();
  const double share = mRampFrom + (1.0 - mRampFrom) * done;
  return std::clamp(share, mRampFrom, 1.0);
}

std::optional<PeerHealth>
EjectionMachine::Health() const
{
  if (SetAside()) {
    return std::nullopt;
  }
  return PeerHealth{ .mSuspicious = mDetector.Score() >= kPeerSuspicion,
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
