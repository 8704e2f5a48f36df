// Finds out whether one backend server crashed, and reports the requests that
// ran at the crash.
#pragma once

#include "porttiller/core/ServerIncarnation.h"
#include "porttiller/home/ServerCall.h"
#include "porttiller/hop/CrashMonitor.h"
#include "porttiller/policy/CrashAttribution.h"

#include <mutex>

namespace porttiller {

// Owned by LocalServer. Thread-safe.
class CrashEvidence
{
public:
  // Both references must outlive this object.
  CrashEvidence(ServerIncarnation aServer,
                ServerCall& aCall,
                CrashMonitor& aMonitor);

  void OnStarted(const HomeRequest& aRequest);
  // Must be called for every started attempt. Sets aAnswer.mCrash if the server
  // crashed under it. aLeaving: the server was shutting down.
  void OnEnded(const HomeRequest& aRequest, HomeAnswer& aAnswer, bool aLeaving);
  // Looks once more whether the server crashed when it last closed a
  // connection: its address may refuse connections only a moment later.
  void Recheck(bool aLeaving);

private:
  bool EndedWithoutNotice(const HomeRequest& aRequest,
                          const HomeAnswer& aAnswer,
                          bool aLeaving);
  void ReportCrash();

  const ServerIncarnation mServer;
  ServerCall& mCall;
  CrashMonitor& mMonitor;
  std::mutex mMutex;
  CrashAttribution mCrashes;           // under mMutex
  std::optional<TimePoint> mRecheckAt; // under mMutex
};

} // namespace porttiller
