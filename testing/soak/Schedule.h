// Which faults a soak injects and when, drawn from a seed alone.
#pragma once

#include "porttiller/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace porttiller::soak {

enum class FaultKind
{
  kKillBox,         // SIGKILL, started again at the end
  kStopBox,         // SIGTERM, started again at the end
  kPauseBox,        // SIGSTOP until the end
  kReloadBox,       // SIGHUP
  kStoreDown,       // for everybody
  kStoreCut,        // silently, for one box
  kStoreCutOneWay,  // its calls arrive, the answers do not
  kStoreReset,      // the box's connections to it
  kStoreForgets,    // its history
  kStoreLosesWrite, // a write takes effect without an answer
  kServerCut,       // silently, between a box and its server
  kServerCutOneWay, // requests arrive, answers do not
  kServerReset,     // the connections between them
  kServerSlow,      // takes long for each request
  kServerFull,      // refuses, and says that it did not run
  kServerSpoils,    // answers without its signature
  kReplaceServer,   // drains, leaves, and another has its address
  kConfigure,       // a new version of the configuration
  kRestartServer,   // ends at once and starts again under its id
  kForeignWriter,   // writes objects and a heartbeat that are none of ours
  kStoreSilent,     // a box's open connections to the store carry nothing more
  kServerSilent     // nor do those between a box and its server
};

inline constexpr int kFaultKinds =
  static_cast<int>(FaultKind::kServerSilent) + 1;

const char*
ToText(FaultKind aKind);

struct Fault
{
  Millis mBegin{ 0 }; // from the start of the soak
  Millis mLength{ 0 };
  FaultKind mKind = FaultKind::kKillBox;
  int mBox = 0;

  friend bool operator==(const Fault&, const Fault&) = default;
};

struct ScheduleOptions
{
  std::uint64_t mSeed = 1;
  int mBoxes = 4;
  Millis mLength{ 12'000 };
  // Faults overlap: at this pace some three are in force at a time.
  Millis mMeanGap{ 500 };
};

// In the order of their beginnings; none lasts beyond the length.
std::vector<Fault>
MakeSchedule(const ScheduleOptions& aOptions);

} // namespace porttiller::soak
