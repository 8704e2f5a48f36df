// What one start of a backend server demands in its answers: a limit of
// requests per second, and no new requests as it is leaving.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/NamedLimit.h"
#include "porttiller/policy/RecentCount.h"
#include "porttiller/policy/RequestPacer.h"
#include "porttiller/policy/TurnInterval.h"

#include <memory>
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
  // The server answered a request that was sent at aSent. aSenders: boxes that
  // sent requests recently. Returns whether it now takes less than before, so
  // that requests which wait for it may be too many.
  bool OnAnswer(const ServerSignals& aSignals,
                const std::string& aRequestId,
                std::size_t aSenders,
                TimePoint aSent,
                TimePoint aNow);
  // An entry knows of a limit. Used until the server itself has answered, as
  // after a restart of this box. Returns the same as OnAnswer.
  bool OnReport(const LimitNote& aLimit, std::size_t aSenders, TimePoint aNow);
  // The server's process has ended.
  void OnEnded();

  // Takes the next start time within the limit, if it is no later than aNow +
  // aMaxWait; aNow if there is no limit.
  std::optional<TimePoint> Reserve(Micros aMaxWait, TimePoint aNow);
  // A reservation was not used.
  void Return();
  // How long the box of a rejected request should wait before the next one.
  Millis RetryAfter(TimePoint aNow) const;

  // Requests per second; null while the server names no limit.
  std::optional<double> Limit() const;
  // Whether its answers say that it is leaving. Final for this start.
  bool IsLeaving() const;
  ServerDemand Demand() const;
  // Requests sent in the last RecentCount::kWindow.
  int RecentlySent(TimePoint aNow) const;
  std::string Dump() const;

private:
  bool OnLimitChanged(std::optional<double> aBefore,
                      std::size_t aSenders,
                      TimePoint aNow);
  void Confirm(TimePoint aNow);
  void LogLimit(const std::string& aRequestId,
                const char* aSource,
                TimePoint aNow) const;

  const ServerIncarnation mServer;
  mutable std::mutex mMutex;
  NamedLimit mLimit;
  RequestPacer mPacer;    // used while there is a limit
  TurnInterval mInterval; // the same
  TimePoint mNextConfirmAt;
  RecentCount mSent;
  int mRejected = 0; // since the last line of the log
  bool mLeaving = false;
  bool mUnreadable = false; // the last answer's limit was
};

using ServerThrottlePtr = std::shared_ptr<ServerThrottle>;

} // namespace porttiller
