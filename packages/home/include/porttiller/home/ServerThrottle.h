// What one start of a backend server demands in its answers: a limit of
// requests per second, and no new requests as it is leaving.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/NamedLimit.h"
#include "porttiller/policy/RecentCount.h"

#include <mutex>
#include <string>

namespace porttiller {

// Owned by Home, and by the LocalServer objects of the server: it outlives
// changes of the server's settings. Thread-safe.
class ServerThrottle
{
public:
  explicit ServerThrottle(ServerIncarnation aServer);

  const ServerIncarnation& Server() const { return mServer; }

  // A request is sent to the server.
  void OnSent(TimePoint aNow);
  // The server answered a request that was sent at aSent.
  void OnAnswer(const ServerSignals& aSignals,
                const std::string& aRequestId,
                TimePoint aSent,
                TimePoint aNow);

  // Requests per second; null while the server names no limit.
  std::optional<double> Limit() const;
  // Requests sent in the last RecentCount::kWindow.
  int RecentlySent(TimePoint aNow) const;
  std::string Dump() const;

private:
  void LogLimit(const std::string& aRequestId, TimePoint aNow) const;

  const ServerIncarnation mServer;
  mutable std::mutex mMutex;
  NamedLimit mLimit;
  RecentCount mSent;
  bool mLeaving = false;
  bool mUnreadable = false; // the last answer's limit was
};

using ServerThrottlePtr = std::shared_ptr<ServerThrottle>;

} // namespace porttiller
