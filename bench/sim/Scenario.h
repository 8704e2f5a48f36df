// The simulated deployments and faults.
#pragma once

#include "porttiller/config/Resources.h"
#include "porttiller/core/Time.h"

#include <string>
#include <vector>

namespace porttiller::bench {

// A service of one of the two users of porttiller, with its server count, slots
// and delays, and with its request rate at the target size of the fleet.
struct Deployment
{
  std::string mName;
  int mServers = 3; // each on its own box, which is an entry as well
  int mSlots = 9;
  int mFloorSlots = 18;
  DetectionSetting mDetection = DetectionSetting::kCareful;
  double mRatePerServer = 17.0;   // requests a second
  double mServiceMedianMs = 20.0; // of a lognormal distribution
  double mServiceSigma = 0.5;
  Micros mZoneDelay{ 1500 }; // one way

  // The last entry is on a box without a server: it forwards all its requests
  // to other boxes.
  int Entries() const { return mServers + 1; }
};

enum class FaultKind
{
  kNone,
  kGrayErrors,   // half of one server's requests fail
  kGraySlow,     // one server is eight times slower
  kPartialCalls, // on one server, one of ten kinds of requests fails
  kFlapping,     // gray errors, alternately on and off for three seconds
  kPathOneWay,   // the last entry's requests to one box are lost
  kCommonCause,  // half of all requests fail, and all servers are four times
                 // slower
  kColdStart,    // a server restarts and is slow for eight seconds
  kNoiseBursts,  // 200 ms of 30% errors at a random server every four seconds
  kOverload,     // callers send twice the capacity
  kPlatformUnavailable // gray errors while the platform grants no permission
};

struct Scenario
{
  std::string mName;
  FaultKind mKind = FaultKind::kNone;
  // True when no single server causes the fault: every ejection is then false.
  bool mNoServerAtFault = false;
};

const std::vector<Deployment>&
Deployments();

const std::vector<Scenario>&
Scenarios();

// Times of the fault's begin and end, and of the end of the run.
inline constexpr TimePoint kFaultBegins{ Millis(20'000) };
inline constexpr TimePoint kFaultEnds{ Millis(50'000) };
inline constexpr TimePoint kRunEnds{ Millis(60'000) };
inline constexpr int kCallKinds = 10;
inline constexpr int kFaultyServer = 0;

} // namespace porttiller::bench
