#include "porttiller/hop/RecentHints.h"

#include <algorithm>

namespace porttiller {

void
RecentHints::Note(const ServiceName& aService,
                  const ServerIncarnation& aServer,
                  TimePoint aSaidAt)
{
  Forget(aServer);
  const auto place =
    std::find_if(mSaid.begin(), mSaid.end(), [&](const Said& aSaid) {
      return aSaid.mAt <= aSaidAt;
    });
  mSaid.insert(place, { aService, aServer, aSaidAt });
  if (mSaid.size() > kKept) {
    mSaid.pop_back();
  }
}

void
RecentHints::Forget(const ServerIncarnation& aServer)
{
  std::erase_if(mSaid, [&](const Said& aSaid) {
    return aSaid.mServer.Id() == aServer.Id();
  });
}

ServerHints
RecentHints::Fresh(TimePoint aNow) const
{
  ServerHints hints;
  for (const auto& said : mSaid) {
    const auto age = std::chrono::ceil<Millis>(aNow - said.mAt);
    if (age > kLast || hints.size() == kMaxHints) {
      break;
    }
    hints.push_back(
      { .mService = said.mService, .mServer = said.mServer, .mAge = age });
  }
  return hints;
}

} // namespace porttiller
