// How servers and paths misbehave in a scenario, as a function of time.
#pragma once

#include "sim/Scenario.h"

#include <random>

namespace porttiller::bench {

// Owned by a World.
class FaultModel
{
public:
  FaultModel(FaultKind aKind, const Deployment& aDeployment);

  bool IsOn(TimePoint aNow) const;
  // Share of a server's calls of one kind that fail.
  double FailureRate(int aServer, int aCallKind, TimePoint aNow) const;
  // Factor on a server's service times.
  double Slowness(int aServer, TimePoint aNow) const;
  // Whether requests of this entry to this server are lost.
  bool PathCut(int aEntry, int aServer, TimePoint aNow) const;
  void OnTick(TimePoint aNow, std::mt19937_64& aRandom);

private:
  const FaultKind mKind;
  const Deployment& mDeployment;
  int mNoisyServer = 0;
};

} // namespace porttiller::bench
