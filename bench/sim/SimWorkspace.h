// The workspaces that a simulated fleet serves.
#pragma once

#include "porttiller/policy/RequestLimit.h"

#include <cstdint>
#include <vector>

namespace porttiller::bench {

// A workspace and how much it sends.
struct SimWorkspace
{
  RequestLimit mLimit;
  double mUsual = 0.0; // requests a second through all entries
  double mHotFactor = 1.0;
};

// As on a sheet: aCount workspaces with a few large ones, aTotal requests a
// second in all, each limited to aRoom times its usual.
std::vector<SimWorkspace>
DrawWorkspaces(int aCount, double aTotal, double aRoom, std::uint64_t aSeed);

} // namespace porttiller::bench
