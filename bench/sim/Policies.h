// The compared outlier detection policies: that of porttiller, and baselines.
#pragma once

#include "porttiller/policy/Balancer.h"
#include "porttiller/policy/EjectionLedger.h"
#include "porttiller/policy/EjectionMachine.h"
#include "sim/Scenario.h"

#include <random>
#include <string>
#include <variant>
#include <vector>

namespace porttiller::bench {

// One attempt of a request as a policy sees it.
struct Attempt
{
  int mEntry = 0;
  int mServer = 0;
  bool mRepeatable = false;
  bool mLastResort = false;
};

// porttiller: detection at the home, demotion, ejection with a permission from
// the ledger, and hints to entries when to retry a server.
class PorttillerPolicy
{
public:
  PorttillerPolicy(const Deployment& aDeployment, bool aPlatformUnavailable);

  Eligibility EligibilityAt(int aEntry, int aServer, TimePoint aNow) const;
  AdmissionVerdict Gate(const Attempt& aAttempt, TimePoint aNow);
  void OnRejected(const Attempt& aAttempt, TimePoint aNow);
  void OnEvidence(const Attempt& aAttempt,
                  const Evidence& aEvidence,
                  TimePoint aNow);
  void OnPathFailure(const Attempt& aAttempt, TimePoint aNow);
  void OnTick(TimePoint aNow, std::mt19937_64& aRandom);
  void OnServerRestart(int aServer, TimePoint aNow);
  bool OutOfRotation(int aServer) const;
  int SlotLimit(int aServer, TimePoint aNow) const;
  void SetThreshold(double aThreshold);

private:
  // A scheduled reply to an EjectionMachine.
  struct Pending
  {
    TimePoint mAt;
    int mServer;
    std::variant<std::vector<PeerHealth>, PermissionAnswer, bool> mAnswer;
  };

  void Act(int aServer,
           const EjectionAction& aAction,
           TimePoint aNow,
           std::mt19937_64& aRandom);
  std::vector<PeerHealth> Ask(int aServer, std::mt19937_64& aRandom) const;
  PermissionAnswer Eject(int aServer);
  void Deliver(const Pending& aPending, TimePoint aNow);

  const Deployment mDeployment;
  const bool mPlatformUnavailable;
  EjectionOptions mOptions;
  std::vector<EjectionMachine> mMachines;
  std::vector<TimePoint> mAvoidUntil;  // by entry and server
  std::vector<TimePoint> mClosedUntil; // by entry and server
  std::vector<int> mPathFailures;
  EjectionLedger mLedger;
  CapacityView mCapacity;
  std::vector<Pending> mPending;
};

// Five consecutive failures, counted over all responses of a server, remove it
// from use for thirty seconds; never more than half of the servers.
class ConsecutiveFailures
{
public:
  explicit ConsecutiveFailures(const Deployment& aDeployment);

  Eligibility EligibilityAt(int aEntry, int aServer, TimePoint aNow) const;
  void OnEvidence(const Attempt& aAttempt,
                  const Evidence& aEvidence,
                  TimePoint aNow);
  void OnPathFailure(const Attempt& aAttempt, TimePoint aNow);
  void OnTick(TimePoint aNow, std::mt19937_64& aRandom);
  bool OutOfRotation(int aServer) const;

private:
  std::vector<int> mFailures;
  std::vector<TimePoint> mUntil;
  TimePoint mNow;
};

// porttiller's detector at each entry separately, which cannot distinguish a
// failing path from a failing server. An entry removes a server from use for
// thirty seconds, and never more than half of the servers.
class EntrySide
{
public:
  explicit EntrySide(const Deployment& aDeployment);

  Eligibility EligibilityAt(int aEntry, int aServer, TimePoint aNow) const;
  void OnEvidence(const Attempt& aAttempt,
                  const Evidence& aEvidence,
                  TimePoint aNow);
  void OnPathFailure(const Attempt& aAttempt, TimePoint aNow);
  void OnTick(TimePoint aNow, std::mt19937_64& aRandom);
  // Removed from use by every entry.
  bool OutOfRotation(int aServer) const;
  // Removed from use by at least one entry.
  bool RemovedFromUseAnywhere(int aServer) const;

private:
  const int mServers;
  const int mEntries;
  std::vector<CusumDetector> mDetectors;
  std::vector<TimePoint> mUntil;
  TimePoint mNow;
};

// Never removes a server from use.
class RoundRobin
{
public:
  void OnPathFailure(const Attempt& aAttempt, TimePoint aNow);
};

using Policy =
  std::variant<PorttillerPolicy, ConsecutiveFailures, EntrySide, RoundRobin>;

// "porttiller", "consecutive-failures", "entry-side" or "round-robin".
Policy
MakePolicy(const std::string& aName,
           const Deployment& aDeployment,
           bool aPlatformUnavailable);

} // namespace porttiller::bench
