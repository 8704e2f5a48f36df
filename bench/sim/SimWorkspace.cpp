#include "sim/SimWorkspace.h"

#include <cmath>
#include <random>

namespace porttiller::bench {

std::vector<SimWorkspace>
DrawWorkspaces(int aCount, double aTotal, double aRoom, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0.7, 1.3);
  std::vector<double> sizes;
  double sum = 0.0;
  for (int i = 0; i < aCount; ++i) {
    // Sizes fall with rank^-0.8, which gives a few large workspaces.
    sizes.push_back(uniform(random) / std::pow(i + 1.0, 0.8));
    sum += sizes.back();
  }
  std::vector<SimWorkspace> workspaces;
  for (const double size : sizes) {
    const double usual = aTotal * size / sum;
    const double rate = std::ceil(usual * aRoom);
    workspaces.push_back({ .mLimit = { .mRatePerSecond = rate, .mBurst = rate },
                           .mUsualRate = usual });
  }
  return workspaces;
}

} // namespace porttiller::bench
