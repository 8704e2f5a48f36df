#include "porttiller/policy/RouteTimes.h"

namespace porttiller {

namespace {

// Limits memory; a service has 20 routes on average at the target size.
constexpr std::size_t kMaxRoutes = 128;
// With fewer samples, the tail of a route's distribution is unreliable.
constexpr int kMinSamples = 5;
constexpr double kNinetiethPercentileSigmas = 1.2816; // above the median

} // namespace

void
RouteTimes::Observe(const std::string& aRoute, Micros aTime)
{
  mAllRoutes.Observe(aTime);
  if (mRoutes.size() < kMaxRoutes || mRoutes.contains(aRoute)) {
    mRoutes[aRoute].Observe(aTime);
  }
}

const LatencyModel&
RouteTimes::ModelOf(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  const bool known = it != mRoutes.end() && it->second.Samples() >= kMinSamples;
  return known ? it->second : mAllRoutes;
}

double
RouteTimes::Survival(const std::string& aRoute, Micros aTime) const
{
  return ModelOf(aRoute).Survival(aTime);
}

Micros
RouteTimes::LatencyP90(const std::string& aRoute) const
{
  const auto& model = ModelOf(aRoute);
  return model.Samples() < kMinSamples
           ? Micros(0)
           : model.TimeAt(kNinetiethPercentileSigmas);
}

} // namespace porttiller
