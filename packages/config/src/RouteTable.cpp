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

// A host has no slash and a prefix begins with one, so keys are unambiguous.
std::string
KeyOf(std::string_view aHost, std::string_view aPrefix)
{
  std::string key(aHost);
  key += aPrefix;
  return key;
}

} // namespace

void
RouteTable::Add(const RouteSpec& aRoute)
{
  auto& routes = mByKey[KeyOf(aRoute.mHost, aRoute.mPathPrefix)];
  routes.push_back(aRoute);
  // Routes with a list of methods take precedence over those for all methods.
  std::stable_sort(routes.begin(),
                   routes.end(),
                   [](const RouteSpec& aLeft, const RouteSpec& aRight) {
                     return !aLeft.mMethods.empty() && aRight.mMethods.empty();
                   });
  ++mSize;
}

const RouteSpec*
RouteTable::FindAt(const std::string& aKey, std::string_view aMethod) const
{
  const auto it = mByKey.find(aKey);
  if (it == mByKey.end()) {
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
RouteTable::FindForHost(std::string_view aHost,
                        std::string_view aMethod,
                        std::string_view aPath) const
{
  auto prefix = aPath;
  while (!prefix.empty()) {
    if (const auto* route = FindAt(KeyOf(aHost, prefix), aMethod)) {
      return route;
    }
    // "/a/b" -> "/a/" -> "/a" -> "/"
    if (prefix.back() == '/') {
      prefix.remove_suffix(1);
    } else {
      prefix.remove_suffix(prefix.size() - prefix.rfind('/') - 1);
    }
  }
  return nullptr;
}

const RouteSpec*
RouteTable::Find(std::string_view aHost,
                 std::string_view aMethod,
                 std::string_view aPath) const
{
  if (!aPath.starts_with('/')) {
    return nullptr;
  }
  const auto* route = FindForHost(aHost, aMethod, aPath);
  return route != nullptr || aHost.empty() ? route
                                           : FindForHost("", aMethod, aPath);
}

} // namespace porttiller
