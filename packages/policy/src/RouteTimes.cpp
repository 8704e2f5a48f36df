#include "porttiller/policy/RouteTimes.h"

#include <cmath>

namespace porttiller {

namespace {

// Limits memory; a service has 20 routes on average at the target size.
constexpr std::size_t kMaxRoutes = 128;
// With fewer samples, the tail of a route's distribution is unreliable.
constexpr int kMinSamples = 5;
constexpr double kNinetiethPercentileSigmas = 1.2816; // above the median

// Assumes that one request in ten takes longer than the target. With the usual
// initial median of 300 ms, the first long requests would seem overdue. The
// first responses are those of the shortest requests, so their weight is small.
LatencyModel
LongModel(Millis aTarget)
{
  LatencyModelOptions options{ .mInitialWeight = 16 };
  const auto target = static_cast<double>(Micros(aTarget).count());
  options.mInitialMedian = Micros(static_cast<Micros::rep>(
    target / std::exp(kNinetiethPercentileSigmas * options.mInitialSigma)));
  return LatencyModel(options);
}

} // namespace

void
RouteTimes::AddLongRoute(const std::string& aRoute, Millis aTarget)
{
  if (mRoutes.size() < kMaxRoutes && !mRoutes.contains(aRoute)) {
    mRoutes.emplace(aRoute, LongModel(aTarget));
  }
}

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

double
RouteTimes::LongSurvival(const std::string& aRoute, Micros aTime) const
{
  const auto it = mRoutes.find(aRoute);
  return (it != mRoutes.end() ? it->second : mAllRoutes).LongSurvival(aTime);
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
