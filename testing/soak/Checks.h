// What must hold for every request of a soak, from what callers and servers
// saw.
#pragma once

#include "soak/Clients.h"

namespace porttiller::soak {

// A box was killed, stopped or paused: its callers may get no answer.
struct Disturbance
{
  int mBox = 0;
  TimePoint mBegin;
  TimePoint mEnd;
  Millis mPlanned{ 0 }; // of its fault, from the start of the soak
};

// A server's word that it drains, acknowledged by its box.
struct DrainAck
{
  const standin::MeshServerStandIn* mServer = nullptr;
  TimePoint mAt;
};

struct Evidence
{
  std::vector<SentRequest> mRequests;
  std::vector<Disturbance> mDisturbances;
  std::vector<DrainAck> mAcks;
};

// One line for each broken promise; empty when all were kept.
std::vector<std::string>
BrokenPromises(const fleet::MeshFleet& aFleet, const Evidence& aEvidence);

} // namespace porttiller::soak
