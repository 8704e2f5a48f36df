// The distribution of request times of each route at one server.
#pragma once

#include "porttiller/policy/LatencyModel.h"

#include <map>
#include <string>

namespace porttiller {

// Not thread-safe: its owner holds the server's lock.
class RouteTimes
{
public:
  // To be called for each long request: derives the initial assumptions about a
  // new route from its latency target.
  void AddLongRoute(const std::string& aRoute, Millis aTarget);
  void Observe(const std::string& aRoute, Micros aTime);
  // The share of the route's requests that take longer than aTime.
  double Survival(const std::string& aRoute, Micros aTime) const;
  // As Survival, for long requests: the share that may take any time is learned
  // from the route's own responses.
  double LongSurvival(const std::string& aRoute, Micros aTime) const;
  // The 90th percentile of the route's request times; zero while there are too
  // few samples.
  Micros LatencyP90(const std::string& aRoute) const;

private:
  const LatencyModel& ModelOf(const std::string& aRoute) const;

  std::map<std::string, LatencyModel> mRoutes;
  LatencyModel mAllRoutes; // for routes without a usable model of their own
};

} // namespace porttiller
