// The faults that a soak injects and their times, which the seed alone
// determines.
#pragma once

#include "porttiller/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace porttiller::soak {

enum class FaultKind
{
  kKillBox,         // SIGKILL; restarted at the end
  kStopBox,         // SIGTERM; restarted at the end
  kPauseBox,        // SIGSTOP; SIGCONT at the end
  kReloadBox,       // SIGHUP
  kStoreDown,       // for all boxes
  kStoreCut,        // holds up all data between a box and the store
  kStoreCutOneWay,  // a box's calls arrive, the answers are held up
  kStoreReset,      // resets a box's connections to the store
  kStoreForgets,    // the store drops its change history
  kStoreLosesWrite, // one write takes effect without an answer
  kServerCut,       // holds up all data between a box and its server
  kServerCutOneWay, // requests arrive, answers are held up
  kServerReset,     // resets the connections between them
  kServerSlow,      // every request takes long
  kServerFull,      // rejects requests as not run
  kServerSpoils,    // answers lack the server's signature
  kReplaceServer,   // drains, leaves; another takes its address
  kConfigure,       // writes a new configuration version
  kRestartServer,   // stops and starts again under its id
  kForeignWriter,   // writes foreign objects and an invalid heartbeat
  kStoreSilent,     // a box's open connections to the store drop all data
  kServerSilent,    // the same between a box and its server
  kCrashingRequest, // repeats of a request that crashes each server
  kServerLimited,   // answers name a limit of requests per second
  kServerLeaves     // answers say that it leaves; replaced without a message
};

// Kinds that are drawn with equal probability; the last three are drawn apart.
inline constexpr int kFaultKinds =
  static_cast<int>(FaultKind::kServerSilent) + 1;

const char*
ToText(FaultKind aKind);

struct Fault
{
  Millis mBegin{ 0 }; // from the start of the soak
  Millis mLength{ 0 };
  FaultKind mKind = FaultKind::kKillBox;
  int mBox = 0; // of kCrashingRequest: the number of the request

  friend bool operator==(const Fault&, const Fault&) = default;
};

struct ScheduleOptions
{
  std::uint64_t mSeed = 1;
  int mBoxes = 4;
  Millis mLength{ 12'000 };
  // Faults overlap: with this gap about three are active at a time.
  Millis mMeanGap{ 500 };
};

// Returns the faults by begin time; none lasts beyond aOptions.mLength.
std::vector<Fault>
MakeSchedule(const ScheduleOptions& aOptions);

} // namespace porttiller::soak
