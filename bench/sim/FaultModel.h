// The faults of servers and network paths in a scenario, as functions of time.
#pragma once

#include "sim/Scenario.h"

#include <random>

namespace porttiller::bench {

// Owned by a Simulation.
class FaultModel
{
public:
  FaultModel(FaultKind aKind, const Deployment& aDeployment);

  bool IsActive(TimePoint aNow) const;
  // Share of a server's requests of one kind that fail.
  double FailureRate(int aServer, int aCallKind, TimePoint aNow) const;
  // Factor by which a server's service times are longer.
  double Slowness(int aServer, TimePoint aNow) const;
  // Whether requests from this entry to this server are lost.
  bool PathCut(int aEntry, int aServer, TimePoint aNow) const;
  void OnTick(TimePoint aNow, std::mt19937_64& aRandom);

private:
  const FaultKind mKind;
  const Deployment& mDeployment;
  int mNoisyServer = 0;
};

} // namespace porttiller::bench
