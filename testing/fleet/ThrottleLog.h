// Records what reaches servers that name a limit or that they are leaving, and
// judges it by the users' bounds.
#pragma once

#include "fleet/Fleet.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace porttiller::fleet {

// Thread-safe. The box of a request is the one where it began.
class ThrottleLog
{
public:
  // The users' bounds. A box is bound by a limit kToldDelay after it passed on
  // an answer that named it.
  static constexpr Millis kContactTime{ 3000 };
  static constexpr Millis kWindow{ 4000 };
  static constexpr Millis kToldDelay{ 500 };
  static constexpr double kLimitFactor = 1.5;
  static constexpr double kLimitSlack = 5.0;
  static constexpr Millis kDrainTime{ 2000 };

  ThrottleLog(std::string aLimitHeader, std::string aLeavingHeader);

  // A client sends a request with this id to a box.
  void OnSent(const std::string& aId, int aBox);
  void OnArrival(const std::string& aId, const std::string& aServer);
  // The box passed on an answer. Returns whether it names a limit or says that
  // its server is leaving.
  bool OnReply(int aBox, const Reply& aReply);
  // A limit of the server ended, or another start has its name: nobody was
  // told.
  void Forget(const std::string& aServer);
  // The box was restarted, paused or cut off: it knows nothing any more.
  void Excuse(int aBox);

  // The most requests in kWindow that count against the server's limit.
  int WorstWindow(const std::string& aServer, TimePoint aNamedAt) const;
  static int Allowed(double aLimit);
  // Arrivals of requests that were sent later than kDrainTime after their box
  // had passed on that the server is leaving.
  int AfterLeaving(const std::string& aServer) const;
  // All arrivals since aFrom.
  int Arrivals(const std::string& aServer, TimePoint aFrom) const;

private:
  struct Sent
  {
    int mBox = 0;
    TimePoint mAt;
  };

  struct Arrival
  {
    TimePoint mAt;
    bool mAfterLimit = false;
    bool mAfterLeaving = false;
  };

  struct Told
  {
    std::optional<TimePoint> mLimit;
    std::optional<TimePoint> mLeaving;
  };

  const std::string mLimitHeader;
  const std::string mLeavingHeader;
  mutable std::mutex mMutex;
  std::map<std::string, Sent> mSent;
  std::map<std::string, std::vector<Arrival>> mArrivals; // by server
  std::map<std::pair<int, std::string>, Told> mTold;     // by box and server
};

} // namespace porttiller::fleet
