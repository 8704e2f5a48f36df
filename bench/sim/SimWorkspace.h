// The workspaces that a simulated fleet serves.
#pragma once

#include "porttiller/policy/RequestLimit.h"

#include <cstdint>
#include <vector>

namespace porttiller::bench {

// A workspace, its limit and its load.
struct SimWorkspace
{
  RequestLimit mLimit;
  double mUsualRate = 0.0; // requests a second through all entries
  double mHotFactor = 1.0; // on the usual rate, in the hot period
};

// Draws aCount workspaces, a few of them large, that usually send aTotal
// requests a second together. Each is limited to aRoom times its usual rate.
std::vector<SimWorkspace>
DrawWorkspaces(int aCount, double aTotal, double aRoom, std::uint64_t aSeed);

} // namespace porttiller::bench
