// Decides when a home sets one of its backend servers aside and takes it back.
//
// Setting aside has two steps. A *demoted* server refuses work that can go
// elsewhere and still serves as the last resort: no capacity is taken away, so
// no permission is needed and the platform may be away. An *ejected* server
// refuses all work, and only with a permission that keeps the service's floor.
#pragma once

#include "porttiller/policy/Detector.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace porttiller {

enum class ServerPhase
{
  kHealthy,
  kAsking,    // suspicious; other homes are asked whether they see the same
  kDemoted,   // set aside without a permission
  kEjected,   // set aside with one
  kProbation, // a trickle of repeatable requests decides
  kRamping    // warming up with fewer slots
};

const char*
ToText(ServerPhase aPhase);

struct EjectionOptions
{
  DetectorOptions mDetector;
  // Demote even when no other home answers.
  bool mActAlone = false;
  Millis mAskAgain{ 250 }; // while the fault looks common
  // So many polls in a row, this far apart, must find the fault to be this
  // server's own: a common one reaches some homes later.
  int mConfirmingPolls = 2;
  Millis mConfirmAfter{ 200 };
  Millis mFirstAside{ 3000 }; // doubles with each strike
  Millis mLongestAside{ 300'000 };
  Millis mForgiveAfter{ 60'000 }; // healthy this long: a strike less
  Millis mPermissionRetry{ 1000 };
  Millis mTrickleGap{ 100 }; // between probation requests
  int mProbationSuccesses = 10;
  // Share of the detector's threshold that counts after a strike.
  double mStrikeThreshold = 0.5;
  Millis mRamp{ 10'000 };
  double mFirstRampShare = 0.25; // of the slots, after having been set aside
  Millis mClockJump{ 3000 };     // a gap between ticks that means: was frozen
};

// For services where a wrong ejection costs much of the capacity.
EjectionOptions
CarefulEjection();

// For services where every second of a failing server hurts.
EjectionOptions
FastEjection();

// How another home's server of the same service fares.
struct PeerHealth
{
  bool mSuspicious = false; // well on the way to an alarm, or past it
  Micros mMedianLatency{ 0 };
  int mSamples = 0;
};

// What the owner has to do; each is answered by the event named with it.
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
  kFloor,      // the floor does not allow it
  kUnavailable // the platform is away, or the outcome is not known
};

enum class GateVerdict
{
  kAdmit,
  kDemoted,
  kEjected
};

// Of one server. Not thread-safe: its owner holds the server's lock.
class EjectionMachine
{
public:
  // Starts with patience for slowness, as the server may be cold, but with all
  // its slots: this home may be what is new.
  EjectionMachine(EjectionOptions aOptions, TimePoint aNow);

  void OnEvidence(const Evidence& aEvidence, TimePoint aNow);
  // Call every 50 to 200 ms.
  std::vector<EjectionAction> OnTick(TimePoint aNow);
  // What other homes said; empty when none answered in time. aOthers is the
  // number of other servers of the service.
  void OnPeers(const std::vector<PeerHealth>& aPeers,
               int aOthers,
               TimePoint aNow);
  void OnPermission(PermissionAnswer aAnswer, TimePoint aNow);
  void OnReleased(bool aDone, TimePoint aNow);
  // The service fell below its floor: work again, at once.
  void OnFloorBroken(TimePoint aNow);

  GateVerdict Gate(bool aRepeatable, bool aLastResort, TimePoint aNow);
  // When a refused request may try again.
  Millis RetryAfter(TimePoint aNow) const;
  // Share of the slots in use: 1 but for ramping.
  double SlotShare(TimePoint aNow) const;

  // What this home answers when another one asks; null for a server that is
  // set aside, which says nothing of a fault that others have now.
  std::optional<PeerHealth> Health() const;

  ServerPhase Phase() const { return mPhase; }
  bool SetAside() const;
  // True while the server takes no work at all: its capacity is away.
  bool Ejected() const;
  bool HoldsPermission() const { return mPermission != Permission::kNone; }
  const Detector& Evidences() const { return mDetector; }
  std::string Dump() const;

private:
  enum class Permission
  {
    kNone,
    kAsked, // maybe held: counts as used, not as granted
    kHeld,
    kReleasing // maybe still held
  };

  bool Suspicious() const;
  void Enter(ServerPhase aPhase, TimePoint aNow);
  void SetAsideNow(TimePoint aNow);
  void OnClockJump(TimePoint aNow);
  void AdvancePhase(TimePoint aNow);
  // True when the alarm began the questions to other homes.
  bool StartAsking(TimePoint aNow);
  void EndProbation(bool aGood, TimePoint aNow);
  void Forgive(TimePoint aNow);
  bool IsCommonCause(const std::vector<PeerHealth>& aPeers) const;
  std::optional<EjectionAction> PermissionAction(TimePoint aNow);

  EjectionOptions mOptions;
  Detector mDetector;
  ServerPhase mPhase = ServerPhase::kRamping;
  Permission mPermission = Permission::kNone;
  bool mCallOpen = false; // an action whose answer has not come
  TimePoint mPhaseSince;
  TimePoint mAsideUntil;
  TimePoint mNextCall;
  TimePoint mNextTrickle;
  TimePoint mLastTick;
  int mStrikes = 0;
  int mOwnFaultPolls = 0; // in a row
  double mRampFrom = 1.0;
  int mProbationGood = 0;
};

} // namespace porttiller
