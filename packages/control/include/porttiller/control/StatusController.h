// Writes the fleet's status to the platform: which configuration is accepted,
// what was rejected and why, and which boxes are behind. One box does it for
// each revision, the one that the rendezvous hash names, so that the work goes
// round; a second one would only waste a write.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/control/ConfigController.h"
#include "porttiller/control/MembershipController.h"
#include "porttiller/control/Worker.h"
#include "porttiller/store/ObjectClient.h"

#include <map>
#include <memory>
#include <string>

namespace porttiller {

inline constexpr const char* kStatusKind = "FleetStatus";
inline constexpr const char* kStatusName = "fleet";

// Owned by the node.
class StatusController
{
public:
  StatusController(const Settings& aSettings,
                   const ConfigController& aConfig,
                   const MembershipController& aMembership,
                   PeerTransport& aTransport,
                   Metrics& aMetrics);

  void Start();
  void Stop();

private:
  void Tick();
  bool IsWriter(std::uint64_t aRevision) const;
  // Asks the boxes that were not known to be in force yet.
  void Collect(const Snapshot& aSnapshot);
  std::string Describe(const Snapshot& aSnapshot) const;
  void Write(std::uint64_t aRevision, const std::string& aStatus);
  // The revision in force at a box; 0 when it does not answer.
  std::uint64_t RevisionAt(const BoxSpec& aBox);

  const Settings& mSettings;
  const ConfigController& mConfig;
  const MembershipController& mMembership;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  ObjectClient mClient;
  std::map<BoxName, std::uint64_t> mRevisions; // by box; 0: silent
  std::uint64_t mCollected = 0; // the revision they were asked at
  TimePoint mNextFullRound;
  std::string mWritten;
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
