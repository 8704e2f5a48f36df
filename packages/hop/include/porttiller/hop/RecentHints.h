// The servers of which a box has last heard that their homes turn requests
// away: what it passes on as hints. Answers many entries with little traffic
// each, which would all find out by refused requests of their own.
#pragma once

#include "porttiller/hop/ServerHints.h"

#include <vector>

namespace porttiller {

// Bounded, whatever the number of servers. Not thread-safe: its owner holds the
// lock.
class RecentHints
{
public:
  // How long a hint is worth passing on after the home said it.
  static constexpr Millis kLast{ 2000 };

  void Note(const ServiceName& aService,
            const ServerIncarnation& aServer,
            TimePoint aSaidAt);
  // The home takes requests again.
  void Forget(const ServerIncarnation& aServer);
  // The freshest ones, kMaxHints at most.
  ServerHints Fresh(TimePoint aNow) const;

private:
  // Enough for a zone in which a third of the servers fails.
  static constexpr std::size_t kKept = 32;

  struct Said
  {
    ServiceName mService;
    ServerIncarnation mServer;
    TimePoint mAt;
  };

  std::vector<Said> mSaid; // freshest first
};

} // namespace porttiller
