// Finds the route of a request by its longest path prefix.
#pragma once

#include "porttiller/config/Resources.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace porttiller {

// Immutable once built; part of a Snapshot.
class RouteTable
{
public:
  void Add(const RouteSpec& aRoute);

  // aPath is the decoded path without its query. Cost: one hash look-up for
  // each segment, whatever the number of routes. Null when none matches.
  const RouteSpec* Find(std::string_view aMethod, std::string_view aPath) const;

  std::size_t Size() const { return mSize; }

private:
  const RouteSpec* FindAt(const std::string& aPrefix,
                          std::string_view aMethod) const;

  std::unordered_map<std::string, std::vector<RouteSpec>> mByPrefix;
  std::size_t mSize = 0;
};

} // namespace porttiller
