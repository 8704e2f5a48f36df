// Finds the route of a request by the longest matching path prefix.
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

  // aHost is in lower case and without a port; aPath is the path as
  // received, without its query: an escape sequence is no part of a prefix that
  // has its character. Routes of the host take precedence over routes for any
  // host, and longer prefixes over shorter ones. Takes a few hash look-ups per
  // path segment, independent of the number of routes. Null if none matches.
  const RouteSpec* Find(std::string_view aHost,
                        std::string_view aMethod,
                        std::string_view aPath) const;

  std::size_t Size() const { return mSize; }

private:
  const RouteSpec* FindAt(const std::string& aKey,
                          std::string_view aMethod) const;
  const RouteSpec* FindForHost(std::string_view aHost,
                               std::string_view aMethod,
                               std::string_view aPath) const;

  std::unordered_map<std::string, std::vector<RouteSpec>>
    mByKey; // by host and prefix
  std::size_t mSize = 0;
};

} // namespace porttiller
