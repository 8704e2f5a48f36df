// Decides when a home removes one of its backend servers from rotation and when
// it returns.
//
// Removal has two steps. A *demoted* server rejects work that another server
// can run and still serves as the last resort. That takes no capacity away, so
// it needs no permission and works while the platform is unavailable. An
// *ejected* server rejects all work, which needs a permission that keeps the
// capacity floor of its service.
#pragma once

#include "porttiller/policy/CusumDetector.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace porttiller {

enum class ServerPhase
{
  kHealthy,
  kAsking,    // suspicious; other homes are asked about their servers
  kDemoted,   // removed from rotation without a permission
  kEjected,   // removed from rotation with a permission
  kProbation, // tested with a few repeatable requests
  kRamping    // warming up with fewer slots
};

const char*
ToText(ServerPhase aPhase);

struct EjectionOptions
{
  CusumDetectorOptions mDetector;
  // Demote even if no other home answers.
  bool mDemoteWithoutPeers = false;
  Millis mPeerPollInterval{ 250 }; // while the fault looks common
  // The number of consecutive polls, this far apart, that must attribute the
  // fault to this server: some homes see a common fault later than others.
  int mConfirmingPolls = 2;
  Millis mConfirmationDelay{ 200 };
  Millis mBaseRemovalTime{ 3000 }; // doubles with each strike
  Millis mMaxRemovalTime{ 300'000 };
  // A strike expires after this time in good health.
  Millis mStrikeDecayTime{ 60'000 };
  Millis mPermissionRetry{ 1000 };
  Millis mProbationInterval{ 100 }; // between probation requests
  int mProbationSuccesses = 10;
  // Share of the detector's threshold that raises an alarm while the server has
  // strikes.
  double mThresholdShareAfterStrike = 0.5;
  Millis mRampTime{ 10'000 };
  double mRampStartShare = 0.25; // of the slots, after removal
  Millis mMaxTickGap{ 3000 }; // a longer gap means that the process was frozen
};

// For services where a wrong ejection costs a large share of the capacity.
EjectionOptions
CarefulEjection();

// For services where every second with a failing server is costly.
EjectionOptions
FastEjection();

// Health of another home's server of the same service.
struct PeerHealth
{
  bool mSuspicious = false;   // close to an alarm or past it
  Micros mMedianLatency{ 0 }; // the recent mean; named as on the wire
  int mSamples = 0;
};

// Requests to the owner, each answered by a call of the method that it names.
struct AskPeers // OnPeers
{};
struct RequestPermission // OnPermission
{};
struct ReleasePermission // OnReleased
{};

using EjectionAction =
  std::variant<AskPeers, RequestPermission, ReleasePermission>;

enum class PermissionAnswer
{
  kGranted,
  kFloor,      // the floor does not permit the ejection
  kUnavailable // the platform is unavailable or the outcome is unknown
};

enum class AdmissionVerdict
{
  kAdmit,
  kDemoted,
  kEjected
};

// State machine of one server. Not thread-safe: its owner holds the server's
// lock.
class EjectionMachine
{
public:
  // Starts without counting slow answers, as the server may be cold, but with
  // all its slots: the daemon may have started after the server.
  EjectionMachine(EjectionOptions aOptions, TimePoint aNow);

  void OnEvidence(const Evidence& aEvidence, TimePoint aNow);
  // Must be called every 50 to 200 ms.
  std::vector<EjectionAction> OnTick(TimePoint aNow);
  // The answers of other homes; empty if none answered in time. aOthers is the
  // number of other servers of the service.
  void OnPeers(const std::vector<PeerHealth>& aPeers,
               int aOthers,
               TimePoint aNow);
  void OnPermission(PermissionAnswer aAnswer, TimePoint aNow);
  void OnReleased(bool aDone, TimePoint aNow);
  // The service fell below its floor: the server returns to rotation at once.
  void OnFloorBroken(TimePoint aNow);

  AdmissionVerdict Gate(bool aRepeatable, bool aLastResort, TimePoint aNow);
  // The time after which a rejected request may be retried.
  Millis RetryAfter(TimePoint aNow) const;
  // Share of the slots in use: 1 except while ramping up.
  double SlotShare(TimePoint aNow) const;

  // The answer to a poll by another home. Null while the server is out of
  // rotation, as it then provides no evidence of a fault that others have now.
  std::optional<PeerHealth> Health() const;

  ServerPhase Phase() const { return mPhase; }
  bool OutOfRotation() const;
  // True while the server takes no work at all, so its capacity is missing.
  bool Ejected() const;
  bool HoldsPermission() const { return mPermission != Permission::kNone; }
  const CusumDetector& HealthDetector() const { return mDetector; }
  std::string Dump() const;

private:
  enum class Permission
  {
    kNone,
    kRequested, // may be held: counts towards the floor, but does not eject
    kHeld,
    kReleasing // may still be held
  };

  bool Suspicious() const;
  void Enter(ServerPhase aPhase, TimePoint aNow);
  void RemoveFromRotation(TimePoint aNow);
  void OnTickGap(TimePoint aNow);
  void AdvancePhase(TimePoint aNow);
  // Returns true if an alarm started polling other homes.
  bool StartAsking(TimePoint aNow);
  void EndProbation(bool aGood, TimePoint aNow);
  void DecayStrikes(TimePoint aNow);
  bool IsCommonCause(const std::vector<PeerHealth>& aPeers) const;
  std::optional<EjectionAction> PermissionAction(TimePoint aNow);

  EjectionOptions mOptions;
  CusumDetector mDetector;
  ServerPhase mPhase = ServerPhase::kRamping;
  Permission mPermission = Permission::kNone;
  bool mActionPending = false; // an action has not been answered yet
  TimePoint mPhaseSince;
  TimePoint mRemovedUntil;
  TimePoint mNextAction;
  TimePoint mNextProbationRequest;
  TimePoint mLastTick;
  int mStrikes = 0;
  int mOwnFaultPolls = 0; // consecutive
  double mRampStart = 1.0;
  int mSuccessesInProbation = 0;
};

} // namespace porttiller
