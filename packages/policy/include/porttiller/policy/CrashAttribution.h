// Finds the requests that may have crashed a backend server: those that ran
// when its process ended.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace porttiller {

struct CrashSuspect
{
  RequestDigest mDigest;
  // It was known to have run at another server's crash before it started here.
  bool mAfterCrash = false;

  friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

// The crash that an attempt ran at.
struct CrashBlame
{
  std::uint64_t mCrash = 0;
  bool mAfterCrash = false;

  friend auto operator<=>(const CrashBlame&, const CrashBlame&) = default;
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
  // without duplicates; they are reported only once. aCrash becomes the ID of
  // the crash. aOpened: connections that were opened to the server so far. If
  // none was since its last crash, the server has not started again, and what
  // was sent since then ran at no crash.
  std::vector<CrashSuspect> OnConnectionRefused(std::uint64_t aCrash,
                                                std::uint64_t aOpened,
                                                TimePoint aNow);
  // The last crash, if it was reported with this attempt; null on a second
  // call.
  std::optional<CrashBlame> TakeBlame(const AttemptId& aAttempt);

private:
  struct Broken
  {
    AttemptId mAttempt;
    CrashSuspect mRequest;
    TimePoint mAt;
  };

  void DropOld(TimePoint aNow);

  std::map<AttemptId, CrashSuspect> mRunning;
  std::vector<Broken> mBroken;             // in the last kCrashSpan
  std::map<AttemptId, CrashBlame> mBlamed; // at the last crash
  std::optional<std::uint64_t> mOpenedAtCrash;
};

} // namespace porttiller
