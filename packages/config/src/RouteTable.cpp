#include "porttiller/config/RouteTable.h"

#include <algorithm>

namespace porttiller {

namespace {

bool
MatchesMethod(const RouteSpec& aRoute, std::string_view aMethod)
{
  const auto& methods = aRoute.mMethods;
  return methods.empty() ||
         std::find(methods.begin(), methods.end(), aMethod) != methods.end();
}

} // namespace

void
RouteTable::Add(const RouteSpec& aRoute)
{
  auto& routes = mByPrefix[aRoute.mPathPrefix];
  routes.push_back(aRoute);
  // A route that names methods goes before one for every method.
  std::stable_sort(routes.begin(),
                   routes.end(),
                   [](const RouteSpec& aLeft, const RouteSpec& aRight) {
                     return !aLeft.mMethods.empty() && aRight.mMethods.empty();
                   });
  ++mSize;
}

const RouteSpec*
RouteTable::FindAt(const std::string& aPrefix, std::string_view aMethod) const
{
  const auto it = mByPrefix.find(aPrefix);
  if (it == mByPrefix.end()) {
    return nullptr;
  }
  for (const auto& route : it->second) {
    if (MatchesMethod(route, aMethod)) {
      return &route;
    }
  }
  return nullptr;
}

const RouteSpec*
RouteTable::Find(std::string_view aMethod, std::string_view aPath) const
{
  std::string prefix(aPath);
  while (!prefix.empty()) {
    if (const auto* route = FindAt(prefix, aMethod)) {
      return route;
    }
    const auto slash = prefix.rfind('/');
    if (slash == std::string::npos) {
      break;
    }
    prefix.resize(slash);
  }
  return FindAt("/", aMethod);
}

} // namespace porttiller
