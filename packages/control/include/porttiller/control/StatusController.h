// Writes the fleet's status to the platform: the accepted configuration
// revision, rejected objects with reasons, and boxes that are behind. For each
// revision one box is the writer, chosen by rendezvous hashing so that the work
// is distributed; a second writer would only cost an extra write.
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
  // Queries the boxes that are not known to have this revision in force.
  void Collect(const Snapshot& aSnapshot);
  std::string Describe(const Snapshot& aSnapshot) const;
  void Write(std::uint64_t aRevision, const std::string& aStatus);
  // The revision in force at a box; 0 if the box does not reply.
  std::uint64_t RevisionAt(const BoxSpec& aBox);

  const Settings& mSettings;
  const ConfigController& mConfig;
  const MembershipController& mMembership;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  ObjectClient mClient;
  std::map<BoxName, std::uint64_t> mRevisions; // by box; 0: unresponsive
  std::uint64_t mCollectedRevision = 0; // that mRevisions were collected for
  TimePoint mNextFullRound;
  std::string mWrittenStatus; // empty: none written by this box as the writer
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
