// What is simulated: a service of one of the two firms, and one fault.
#pragma once

#include "porttiller/config/Resources.h"
#include "porttiller/core/Time.h"

#include <string>
#include <vector>

namespace porttiller::bench {

// Sizes, slots and delays of the brief; rates of the target size.
struct Deployment
{
  std::string mName;
  int mServers = 3; // each on a box of its own, which is an entry too
  int mSlots = 9;
  int mFloorSlots = 18;
  DetectionSetting mDetection = DetectionSetting::kCareful;
  double mRatePerServer = 17.0;   // requests a second
  double mServiceMedianMs = 20.0; // lognormal, sigma below
  double mServiceSigma = 0.5;
  Micros mZoneDelay{ 1500 }; // one way

  // The last entry is on a box without a server: all its requests travel.
  int Entries() const { return mServers + 1; }
};

enum class FaultKind
{
  kNone,
  kGrayErrors,   // half of the calls fail
  kGraySlow,     // eight times slower
  kPartialCalls, // one kind of calls in ten fails
  kFlapping,     // gray errors, three seconds on, three off
  kPathOneWay,   // the last entry's requests to one box are lost
  kCommonCause,  // every server fails half of its calls, four times slower
  kColdStart,    // a server starts anew and is slow for eight seconds
  kNoiseBursts,  // 200 ms of 30% errors at a random server every four seconds
  kOverload,     // twice the capacity arrives
  kPlatformAway  // gray errors while no permission can be had
};

struct Scenario
{
  std::string mName;
  FaultKind mKind = FaultKind::kNone;
  // True when the fault is no server's own: whoever is set aside is so falsely.
  bool mNobodyToBlame = false;
};

const std::vector<Deployment>&
Deployments();

const std::vector<Scenario>&
Scenarios();

// When faults begin and end, and how long a run is.
inline constexpr TimePoint kFaultBegins{ Millis(20'000) };
inline constexpr TimePoint kFaultEnds{ Millis(50'000) };
inline constexpr TimePoint kRunEnds{ Millis(60'000) };
inline constexpr int kCallKinds = 10;
inline constexpr int kSickServer = 0;

} // namespace porttiller::bench
