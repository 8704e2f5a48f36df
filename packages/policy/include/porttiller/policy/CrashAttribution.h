// Finds the requests that may have crashed a backend server: those that ran
// when its process ended.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/core/Time.h"

#include <map>
#include <vector>

namespace porttiller {

struct CrashSuspect
{
  RequestDigest mDigest;
  // It was known to have run at another server's crash before it started here.
  bool mAfterCrash = false;

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

// One instance per backend server, owned by its LocalServer. Not thread-safe.
class CrashAttribution
{
public:
  // Connections of one crash are seen to end within this time.
  static constexpr Millis kCrashSpan{ 500 };

  void OnStarted(const AttemptId& aAttempt, const CrashSuspect& aRequest);
  // The server answered the attempt, or did not run it.
  void OnAnswered(const AttemptId& aAttempt);
  // The attempt ended without an answer. The server may still have run it when
  // it crashed.
  void OnBroken(const AttemptId& aAttempt, TimePoint aNow);
  // The server's address refuses connections. Returns the requests that it ran,
  // without duplicates; they are reported only once.
  std::vector<CrashSuspect> OnConnectionRefused(TimePoint aNow);

private:
  struct Broken
  {
    CrashSuspect mRequest;
    TimePoint mAt;
  };

  void DropOld(TimePoint aNow);

  std::map<AttemptId, CrashSuspect> mRunning;
  std::vector<Broken> mBroken; // in the last kCrashSpan
};

} // namespace porttiller
