// Checks the guarantees that hold for every request of a soak, from what
// callers and servers observed.
#pragma once

#include "soak/Clients.h"

namespace porttiller::soak {

// A period in which a box was killed, stopped or paused, so that its callers
// may get no answer.
struct BoxOutage
{
  int mBox = 0;
  TimePoint mBegin;
  TimePoint mEnd;
  // Scheduled begin of its fault, from the start of the soak.
  Millis mPlannedBegin{ 0 };
};

// A box acknowledged that this server drains or leaves.
struct DrainAck
{
  const standin::MeshServerStandIn* mServer = nullptr;
  TimePoint mAt;
};

struct Observations
{
  std::vector<SentRequest> mRequests;
  std::vector<BoxOutage> mOutages;
  std::vector<DrainAck> mAcks;
  std::map<std::string, fleet::CrashRecord> mCrashes; // by target
};

// Returns a line for each violated guarantee.
std::vector<std::string>
FindViolations(const fleet::MeshFleet& aFleet,
               const Observations& aObservations);

} // namespace porttiller::soak
