#include "sim/Scenario.h"

namespace porttiller::bench {

const std::vector<Deployment>&
Deployments()
{
  static const std::vector<Deployment> deployments = {
    { .mName = "zaria.tariff-ledger" },
    { .mName = "zaria.meter-gateway", .mServers = 6, .mFloorSlots = 36 },
    { .mName = "kjaersgaard.servicelog",
      .mServers = 9,
      .mSlots = 6,
      .mFloorSlots = 36,
      .mDetection = DetectionSetting::kFast },
    { .mName = "kjaersgaard.reservedel",
      .mServers = 4,
      .mSlots = 6,
      .mFloorSlots = 12,
      .mDetection = DetectionSetting::kFast },
  };
  return deployments;
}

const std::vector<Scenario>&
Scenarios()
{
  static const std::vector<Scenario> scenarios = {
    { "gray-errors", FaultKind::kGrayErrors },
    { "gray-slow", FaultKind::kGraySlow },
    { "partial-calls", FaultKind::kPartialCalls },
    { "flapping", FaultKind::kFlapping },
    { "path-one-way", FaultKind::kPathOneWay, true },
    { "common-cause", FaultKind::kCommonCause, true },
    { "cold-start", FaultKind::kColdStart, true },
    { "noise-bursts", FaultKind::kNoiseBursts, true },
    { "overload", FaultKind::kOverload, true },
    { "platform-away", FaultKind::kPlatformUnavailable },
  };
  return scenarios;
}

} // namespace porttiller::bench
