#include "sim/Policies.h"

#include <algorithm>
#include <cmath>

namespace porttiller::bench {

namespace {

constexpr Millis kRoundTrip{ 3 };
constexpr Millis kPlatformCall{ 5 };
constexpr Millis kMinAvoid{ 200 };
constexpr Millis kMaxAvoid{ 5000 };
constexpr int kMaxAvoidDoublings = 5;
constexpr Millis kBaselineEjectionTime{ 30'000 };
constexpr int kConsecutiveFailureLimit = 5;
constexpr std::size_t kPeersAsked = 3;

EjectionOptions
OptionsFor(const Deployment& aDeployment)
{
  return aDeployment.mDetection == DetectionSetting::kFast ? FastEjection()
                                                           : CarefulEjection();
}

// Index of a pair of entry and server in a list of all pairs.
std::size_t
PairIndex(int aEntry, int aServer, int aServers)
{
  return static_cast<std::size_t>(aEntry) * static_cast<std::size_t>(aServers) +
         static_cast<std::size_t>(aServer);
}

LedgerEntry
EntryOf(int aServer, int aSlots)
{
  return { .mServer = BackendServerName(std::to_string(aServer)),
           .mBox = BoxName(std::to_string(aServer)),
           .mIncarnation = Incarnation(1),
           .mSlots = aSlots };
}

// Whether a baseline may remove one more server: at most half of the servers
// may be out of use.
bool
MayRemoveFromUse(const std::vector<TimePoint>& aUntil,
                 std::size_t aFirst,
                 std::size_t aCount,
                 TimePoint aNow)
{
  std::size_t removed = 0;
  for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
    removed += aUntil[i] > aNow ? 1 : 0;
  }
  return 2 * (removed + 1) <= aCount;
}

} // namespace

PorttillerPolicy::PorttillerPolicy(const Deployment& aDeployment,
                                   bool aPlatformUnavailable)
  : mDeployment(aDeployment)
  , mPlatformUnavailable(aPlatformUnavailable)
  , mOptions(OptionsFor(aDeployment))
{
  mCapacity.mFloorSlots = aDeployment.mFloorSlots;
  for (int i = 0; i < aDeployment.mServers; ++i) {
    mMachines.emplace_back(mOptions, TimePoint());
    mCapacity.mServers.push_back(
      { EntryOf(i, 0).mServer, aDeployment.mSlots, false });
  }
  const auto pairs = PairIndex(aDeployment.Entries(), 0, aDeployment.mServers);
  mAvoidUntil.resize(pairs);
  mClosedUntil.resize(pairs);
  mPathFailures.resize(pairs);
}

void
PorttillerPolicy::SetThreshold(double aThreshold)
{
  mOptions.mDetector.mThreshold = aThreshold;
  for (auto& machine : mMachines) {
    machine = EjectionMachine(mOptions, TimePoint());
  }
}

Eligibility
PorttillerPolicy::EligibilityAt(int aEntry, int aServer, TimePoint aNow) const
{
  const auto index = PairIndex(aEntry, aServer, mDeployment.mServers);
  if (aNow < mClosedUntil[index]) {
    return Eligibility::kClosed;
  }
  return aNow < mAvoidUntil[index] ? Eligibility::kAvoid : Eligibility::kOpen;
}

AdmissionVerdict
PorttillerPolicy::Gate(const Attempt& aAttempt, TimePoint aNow)
{
  return mMachines[static_cast<std::size_t>(aAttempt.mServer)].Gate(
    aAttempt.mRepeatable, aAttempt.mLastResort, aNow);
}

void
PorttillerPolicy::OnRejected(const Attempt& aAttempt, TimePoint aNow)
{
  const auto& machine = mMachines[static_cast<std::size_t>(aAttempt.mServer)];
  const auto index =
    PairIndex(aAttempt.mEntry, aAttempt.mServer, mDeployment.mServers);
  const auto until =
    aNow + std::clamp(machine.RetryAfter(aNow), kMinAvoid, kMaxAvoid);
  (machine.Ejected() ? mClosedUntil : mAvoidUntil)[index] = until;
}

void
PorttillerPolicy::OnEvidence(const Attempt& aAttempt,
                             const Evidence& aEvidence,
                             TimePoint aNow)
{
  mMachines[static_cast<std::size_t>(aAttempt.mServer)].OnEvidence(aEvidence,
                                                                   aNow);
  const auto index =
    PairIndex(aAttempt.mEntry, aAttempt.mServer, mDeployment.mServers);
  mPathFailures[index] = 0;
}

void
PorttillerPolicy::OnPathFailure(const Attempt& aAttempt, TimePoint aNow)
{
  const auto index =
    PairIndex(aAttempt.mEntry, aAttempt.mServer, mDeployment.mServers);
  const int doublings = std::min(mPathFailures[index]++, kMaxAvoidDoublings);
  mAvoidUntil[index] = aNow + std::min(kMinAvoid * (1 << doublings), kMaxAvoid);
}

void
PorttillerPolicy::OnTick(TimePoint aNow, std::mt19937_64& aRandom)
{
  std::vector<Pending> due;
  std::erase_if(mPending, [&](const Pending& aPending) {
    if (aPending.mAt > aNow) {
      return false;
    }
    due.push_back(aPending);
    return true;
  });
  for (const auto& pending : due) {
    Deliver(pending, aNow);
  }
  for (int server = 0; server < mDeployment.mServers; ++server) {
    auto& machine = mMachines[static_cast<std::size_t>(server)];
    for (const auto& action : machine.OnTick(aNow)) {
      Act(server, action, aNow, aRandom);
    }
  }
}

void
PorttillerPolicy::Act(int aServer,
                      const EjectionAction& aAction,
                      TimePoint aNow,
                      std::mt19937_64& aRandom)
{
  if (std::holds_alternative<AskPeers>(aAction)) {
    mPending.push_back({ aNow + kRoundTrip, aServer, Ask(aServer, aRandom) });
  } else if (std::holds_alternative<RequestPermission>(aAction)) {
    mPending.push_back({ aNow + kPlatformCall, aServer, Eject(aServer) });
  } else {
    if (!mPlatformUnavailable) {
      mLedger = mLedger.WithoutServer(EntryOf(aServer, 0).mServer);
    }
    mPending.push_back(
      { aNow + kPlatformCall, aServer, !mPlatformUnavailable });
  }
}

std::vector<PeerHealth>
PorttillerPolicy::Ask(int aServer, std::mt19937_64& aRandom) const
{
  std::vector<int> others;
  for (int i = 0; i < mDeployment.mServers; ++i) {
    if (i != aServer) {
      others.push_back(i);
    }
  }
  std::shuffle(others.begin(), others.end(), aRandom);
  others.resize(std::min(others.size(), kPeersAsked));
  std::vector<PeerHealth> answers;
  for (const int other : others) {
    const auto health = mMachines[static_cast<std::size_t>(other)].Health();
    if (health) {
      answers.push_back(*health);
    }
  }
  return answers;
}

PermissionAnswer
PorttillerPolicy::Eject(int aServer)
{
  if (mPlatformUnavailable) {
    return PermissionAnswer::kUnavailable;
  }
  const auto next =
    mLedger.WithEjection(EntryOf(aServer, mDeployment.mSlots), mCapacity);
  if (!next) {
    return PermissionAnswer::kFloor;
  }
  mLedger = *next;
  return PermissionAnswer::kGranted;
}

void
PorttillerPolicy::Deliver(const Pending& aPending, TimePoint aNow)
{
  auto& machine = mMachines[static_cast<std::size_t>(aPending.mServer)];
  if (const auto* peers =
        std::get_if<std::vector<PeerHealth>>(&aPending.mAnswer)) {
    machine.OnPeers(*peers, mDeployment.mServers - 1, aNow);
  } else if (const auto* permission =
               std::get_if<PermissionAnswer>(&aPending.mAnswer)) {
    machine.OnPermission(*permission, aNow);
  } else {
    machine.OnReleased(std::get<bool>(aPending.mAnswer), aNow);
  }
}

void
PorttillerPolicy::OnServerRestart(int aServer, TimePoint aNow)
{
  mMachines[static_cast<std::size_t>(aServer)] =
    EjectionMachine(mOptions, aNow);
}

bool
PorttillerPolicy::OutOfRotation(int aServer) const
{
  return mMachines[static_cast<std::size_t>(aServer)].OutOfRotation();
}

int
PorttillerPolicy::SlotLimit(int aServer, TimePoint aNow) const
{
  const double share =
    mMachines[static_cast<std::size_t>(aServer)].SlotShare(aNow);
  return static_cast<int>(std::ceil(share * mDeployment.mSlots));
}

ConsecutiveFailures::ConsecutiveFailures(const Deployment& aDeployment)
  : mFailures(static_cast<std::size_t>(aDeployment.mServers))
  , mUntil(static_cast<std::size_t>(aDeployment.mServers))
{
}

Eligibility
ConsecutiveFailures::EligibilityAt(int, int aServer, TimePoint aNow) const
{
  return aNow < mUntil[static_cast<std::size_t>(aServer)] ? Eligibility::kClosed
                                                          : Eligibility::kOpen;
}

void
ConsecutiveFailures::OnEvidence(const Attempt& aAttempt,
                                const Evidence& aEvidence,
                                TimePoint aNow)
{
  const auto server = static_cast<std::size_t>(aAttempt.mServer);
  mFailures[server] = aEvidence.mFailed ? mFailures[server] + 1 : 0;
  if (mFailures[server] >= kConsecutiveFailureLimit &&
      MayRemoveFromUse(mUntil, 0, mUntil.size(), aNow)) {
    mUntil[server] = aNow + kBaselineEjectionTime;
    mFailures[server] = 0;
  }
}

void
ConsecutiveFailures::OnPathFailure(const Attempt& aAttempt, TimePoint aNow)
{
  // A timeout at an entry counts as a failure of the server.
  OnEvidence(aAttempt, { .mFailed = true }, aNow);
}

void
ConsecutiveFailures::OnTick(TimePoint aNow, std::mt19937_64&)
{
  mNow = aNow;
}

bool
ConsecutiveFailures::OutOfRotation(int aServer) const
{
  return mUntil[static_cast<std::size_t>(aServer)] > mNow;
}

EntrySide::EntrySide(const Deployment& aDeployment)
  : mServers(aDeployment.mServers)
  , mEntries(aDeployment.Entries())
{
  const auto pairs = PairIndex(mEntries, 0, mServers);
  mDetectors.assign(pairs, CusumDetector(OptionsFor(aDeployment).mDetector));
  mUntil.resize(pairs);
}

Eligibility
EntrySide::EligibilityAt(int aEntry, int aServer, TimePoint aNow) const
{
  return aNow < mUntil[PairIndex(aEntry, aServer, mServers)]
           ? Eligibility::kClosed
           : Eligibility::kOpen;
}

void
EntrySide::OnEvidence(const Attempt& aAttempt,
                      const Evidence& aEvidence,
                      TimePoint aNow)
{
  const auto index = PairIndex(aAttempt.mEntry, aAttempt.mServer, mServers);
  auto& detector = mDetectors[index];
  detector.Observe(aEvidence, true, aNow);
  const auto servers = static_cast<std::size_t>(mServers);
  const bool mayRemove = MayRemoveFromUse(
    mUntil, PairIndex(aAttempt.mEntry, 0, mServers), servers, aNow);
  if (detector.Suspicious() && mayRemove) {
    mUntil[index] = aNow + kBaselineEjectionTime;
    detector.Reset();
  }
}

void
EntrySide::OnPathFailure(const Attempt& aAttempt, TimePoint aNow)
{
  OnEvidence(aAttempt, { .mFailed = true }, aNow);
}

void
EntrySide::OnTick(TimePoint aNow, std::mt19937_64&)
{
  mNow = aNow;
}

bool
EntrySide::OutOfRotation(int aServer) const
{
  for (int entry = 0; entry < mEntries; ++entry) {
    if (mUntil[PairIndex(entry, aServer, mServers)] <= mNow) {
      return false;
    }
  }
  return true;
}

bool
EntrySide::RemovedFromUseAnywhere(int aServer) const
{
  for (int entry = 0; entry < mEntries; ++entry) {
    if (mUntil[PairIndex(entry, aServer, mServers)] > mNow) {
      return true;
    }
  }
  return false;
}

void
RoundRobin::OnPathFailure(const Attempt&, TimePoint)
{
}

Policy
MakePolicy(const std::string& aName,
           const Deployment& aDeployment,
           bool aPlatformUnavailable)
{
  if (aName == "consecutive-failures") {
    return ConsecutiveFailures(aDeployment);
  }
  if (aName == "entry-side") {
    return EntrySide(aDeployment);
  }
  if (aName == "round-robin") {
    return RoundRobin();
  }
  return PorttillerPolicy(aDeployment, aPlatformUnavailable);
}

} // namespace porttiller::bench
