// How long the requests of each route take at one server.
#pragma once

#include "porttiller/policy/LatencyModel.h"

#include <map>
#include <string>

namespace porttiller {

// Not thread-safe: its owner holds the server's lock.
class RouteTimes
{
public:
  void Observe(const std::string& aRoute, Micros aTime);
  // The share of the route's requests that take longer than aTime.
  double Survival(const std::string& aRoute, Micros aTime) const;
  // Nine in ten of its requests take no longer; zero while few were seen.
  Micros UsualTime(const std::string& aRoute) const;

private:
  const LatencyModel& ModelOf(const std::string& aRoute) const;

  std::map<std::string, LatencyModel> mRoutes;
  LatencyModel mOthers; // of routes that are new or too many
};

} // namespace porttiller
